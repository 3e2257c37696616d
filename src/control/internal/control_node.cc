// Links and replication. Commands are in control_commands.cc, updates to
// routers in control_updates.cc.
#include "control/control_node.h"

#include <algorithm>
#include <utility>

#include <boost/outcome/success_failure.hpp>

namespace burdocklock::control {

using quorum::log_entry;
using quorum::raft_role;

namespace {

constexpr std::chrono::milliseconds kJoinRequestInterval{400};
// Peers without an introduction for this time are removed.
constexpr std::chrono::seconds kPeerTimeout{8};

}  // namespace

control_node::control_node(control_options options,
                           quorum::durable_state recovered,
                           i_random& random,
                           i_link_port& links,
                           i_control_port& port,
                           time_point now)
    : options_(std::move(options)),
      link_port_(links),
      port_(port),
      raft_(options_.raft, std::move(recovered), random, now),
      links_(links, options_.links),
      streams_(options_.stream_capacity),
      started_(now),
      now_(now),
      next_heartbeat_(now),
      next_target_batch_(now + options_.target_batch_interval),
      next_join_request_(now) {
  evidence_.Merge(std::exchange(options_.stored_evidence, {}), now);
  UpdateLinks();
  ProcessRaftOutput();
}

void control_node::OnTick(time_point now) {
  now_ = now;
  if (raft_.NextDeadline() <= now) {
    raft_.OnTick(now);
  }
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.links.heartbeat_interval;
    links_.ReopenIdleLinks(now);
    for (const link_id link : links_.OpenLinks()) {
      link_port_.Send(link, MakeIntroduction());
    }
    RemoveSilentPeers();
    registry_.Expire(now);
    evidence_.Expire(now);
    ExpireStreams();
    ExpireCommands();
  }
  if (now >= next_join_request_) {
    next_join_request_ = now + kJoinRequestInterval;
    SendJoinRequests();
  }
  if (now >= next_target_batch_) {
    next_target_batch_ = now + options_.target_batch_interval;
    SendTargetBatch();
  }
  if (now >= next_change_send_) {
    SendTargetChanges();
  }
  if (now >= next_state_send_) {
    SendDueStateUpdates();
  }
  if (now >= next_load_send_) {
    SendLoad();
  }
  if (now >= next_evidence_send_) {
    SendNewEvidence();
  }
  if (now >= next_evidence_store_) {
    StoreEvidence();
  }
  if (now >= next_rollout_decision_) {
    DecideRollouts();
  }
  ProcessRaftOutput();
}

time_point control_node::NextDeadline() const {
  return std::min({raft_.NextDeadline(), next_heartbeat_, next_join_request_,
                   next_target_batch_, next_change_send_, next_state_send_,
                   next_load_send_, next_evidence_send_, next_evidence_store_,
                   next_rollout_decision_});
}

void control_node::OnLinkUp(link_id link, time_point now) {
  now_ = now;
  links_.OnUp(link, now);
  link_port_.Send(link, MakeIntroduction());
  if (link_port_.HasRoom(link)) {
    SendLists({link});
  } else {
    ScheduleLists(link, options_.target_change_interval);
  }
  ProcessRaftOutput();
}

void control_node::OnLinkDown(link_id link, time_point now) {
  now_ = now;
  links_.OnDown(link);
  inbound_.erase(link);
  scheduled_lists_.erase(link);
}

void control_node::OnMessage(link_id link,
                             const message& message,
                             time_point now) {
  now_ = now;
  links_.OnReceived(link, now);
  std::visit([&](const auto& value) { Handle(link, value); }, message);
  ProcessRaftOutput();
}

void control_node::OnDurable(quorum::batch_number batch, time_point now) {
  now_ = now;
  raft_.OnDurable(batch, now);
  ProcessRaftOutput();
}

void control_node::SetSeeds(std::vector<endpoint> seeds, time_point now) {
  now_ = now;
  options_.seeds = std::move(seeds);
  UpdateLinks();
}

void control_node::Leave(time_point now) {
  now_ = now;
  raft_.Leave(now);
  ProcessRaftOutput();
}

introduction control_node::MakeIntroduction() const {
  return {.daemon = options_.daemon,
          .member = raft_.Description(),
          .applied_revision = state_.revision()};
}

void control_node::Handle(link_id link, const introduction& m) {
  if (links_.Owns(link)) {
    // Reply to this host's own introduction; only keeps the link alive.
    return;
  }
  const auto [found, added] = inbound_.try_emplace(link);
  inbound_peer& peer = found->second;
  peer.last_introduction = m;
  peer.last_seen = now_;
  peer.is_router = !m.member.has_value();
  if (!peer.is_router) {
    link_port_.Send(link, MakeIntroduction());
    return;
  }
  if (routers_.insert_or_assign(m.daemon, now_).second) {
    ++routers_version_;
  }
  if (added) {
    // Collected, as after a loss of power all routers come at once.
    ScheduleLists(link, options_.target_change_interval);
  }
  SendStateUpdate(link, peer);
}

void control_node::Handle(link_id, const state_update&) {
  // Sent to routers only.
}

void control_node::Handle(link_id, const target_update& m) {
  for (const aged_announcement& target : m.targets) {
    const time_point last_seen =
        now_ - std::chrono::milliseconds(target.age_ms);
    const registry_result result =
        registry_.Update(target.announced, last_seen);
    if (result == registry_result::kChanged) {
      // Forwarded, as some routers may not be linked with the host that
      // received the announcement first.
      ScheduleChange(target.announced, false);
    } else if (result == registry_result::kRenewed) {
      renewed_targets_.try_emplace(target.announced.target, false);
    }
  }
}

void control_node::Handle(link_id, const quorum_envelope& m) {
  if (m.to.value().empty() || m.to == raft_.self()) {
    raft_.OnMessage(m.from, m.contents, now_);
  }
}

void control_node::Handle(link_id, const load_summary&) {
  // Sent to routers only.
}

void control_node::Handle(link_id, const stream_answer&) {
  // Sent to routers only.
}

void control_node::Handle(link_id, const rollout_update&) {
  // Sent to routers only.
}

void control_node::Handle(link_id, const unrecognised_message&) {}

void control_node::ProcessRaftOutput() {
  quorum::raft_output output = raft_.TakeOutput();
  while (true) {
    if (!output.records.empty()) {
      port_.Store(output.batch, std::move(output.records));
    }
    for (const quorum::outgoing_message& message : output.messages) {
      SendQuorum(message);
    }
    for (const quorum::applied_item& item : output.applied) {
      ApplyItem(item);
    }
    CompleteReads(output.reads);
    ReportNotes(output);
    CompactLogIfLong();
    output = raft_.TakeOutput();
    if (output.records.empty() && output.messages.empty() &&
        output.applied.empty() && output.reads.empty()) {
      break;
    }
  }
  ReportChanges();
}

void control_node::ApplyItem(const quorum::applied_item& item) {
  result<void> applied = BOOST_OUTCOME_V2_NAMESPACE::success();
  if (const auto* base = std::get_if<quorum::snapshot>(&item)) {
    if (!base->state.empty()) {
      applied = state_.Restore(base->state);
    }
    entries_since_compaction_ = 0;
    bytes_since_compaction_ = 0;
  } else {
    const auto& entry = std::get<log_entry>(item);
    ++entries_since_compaction_;
    bytes_since_compaction_ += entry.command.size();
    if (entry.kind == quorum::entry_kind::kCommand) {
      applied =
          state_.Apply(state_revision(entry.index.value()), entry.command);
    }
    CompleteCommand(entry);
  }
  if (!applied) {
    port_.OnError(applied.error());
  }
}

void control_node::CompactLogIfLong() {
  if (entries_since_compaction_ < options_.compact_entries &&
      bytes_since_compaction_ < options_.compact_bytes) {
    return;
  }
  entries_since_compaction_ = 0;
  bytes_since_compaction_ = 0;
  raft_.Compact(raft_.commit(), state_.Encode());
}

void control_node::ReportChanges() {
  const bool new_leader = raft_.leader() != reported_leader_;
  if (raft_.role() != reported_role_ || new_leader) {
    const bool led = reported_role_ == raft_role::kLeader;
    reported_role_ = raft_.role();
    reported_leader_ = raft_.leader();
    port_.OnRole(reported_role_, raft_.term(), reported_leader_);
    if (led && reported_role_ != raft_role::kLeader) {
      FailCommands();
    }
  }
  if (raft_.members() != reported_members_) {
    reported_members_ = raft_.members();
    port_.OnMembers(reported_members_);
    UpdateLinks();
  }
  UpdateRollouts();
  if (state_.revision() != reported_revision_) {
    reported_revision_ = state_.revision();
    port_.OnState(reported_revision_, state_.contents());
    ScheduleStateUpdates();
  }
}

void control_node::ReportNotes(const quorum::raft_output& output) {
  for (const quorum::vote_note& vote : output.votes) {
    port_.OnVote(vote);
  }
  for (const quorum::election_note& election : output.elections) {
    port_.OnElection(election);
  }
  for (const quorum::join_note& join : output.joins) {
    port_.OnJoin(join);
  }
}

void control_node::UpdateLinks() {
  std::set<endpoint> peers(options_.seeds.begin(), options_.seeds.end());
  for (const quorum::member& member : raft_.members()) {
    peers.insert(member.peer_endpoint);
  }
  peers.erase(options_.raft.peer_endpoint);
  links_.SetPeers(peers, now_);
}

void control_node::SendQuorum(const quorum::outgoing_message& message) {
  const quorum::member* to = raft_.FindMember(message.to);
  const quorum_envelope envelope{
      .from = raft_.self(), .to = message.to, .contents = message.message};
  const auto own =
      to != nullptr ? links_.FindLink(to->peer_endpoint) : std::nullopt;
  // There is no link of this host's to a member that it doesn't know yet, and
  // one that is down carries nothing; then the member's own is taken.
  const auto link = own && links_.IsUp(*own) ? own : FindInbound(message.to);
  if (link) {
    link_port_.Send(*link, envelope);
  }
}

std::optional<link_id> control_node::FindInbound(
    const quorum::member_id& id) const {
  std::optional<link_id> newest;
  time_point last_seen;
  for (const auto& [link, peer] : inbound_) {
    const std::optional<quorum::member>& host = peer.last_introduction.member;
    if (host && host->id == id && (!newest || peer.last_seen >= last_seen)) {
      newest = link;
      last_seen = peer.last_seen;
    }
  }
  return newest;
}

void control_node::SendJoinRequests() {
  if (!raft_.WantsToJoin(now_)) {
    return;
  }
  for (const link_id link : LinksToHosts()) {
    link_port_.Send(
        link,
        quorum_envelope{.from = raft_.self(),
                        .to = {},
                        .contents = quorum::join_request{raft_.Description()}});
  }
}

std::vector<link_id> control_node::LinksToHosts() const {
  std::vector<link_id> links = links_.OpenLinks();
  std::set<quorum::member_id> reached;
  for (const auto& [link, peer] : inbound_) {
    const std::optional<quorum::member>& host = peer.last_introduction.member;
    const auto own = host ? links_.FindLink(host->peer_endpoint) : std::nullopt;
    if (host && !(own && links_.IsUp(*own)) &&
        reached.insert(host->id).second) {
      links.push_back(*FindInbound(host->id));
    }
  }
  return links;
}

leadership control_node::Leadership(time_point now) const {
  leadership known{.role = raft_.role(),
                   .term = raft_.term(),
                   .leader = raft_.leader(),
                   .known_for = now - raft_.leader_since(),
                   .voters = raft_.VoterCount(),
                   .elections_lost = raft_.elections_lost(),
                   .last_election = raft_.last_election()};
  for (const quorum::member& member : raft_.members()) {
    const auto link = links_.FindLink(member.peer_endpoint);
    const bool is_linked =
        member.id == raft_.self() || (link && links_.IsActive(*link, now));
    known.voters_linked += member.voter && is_linked ? 1 : 0;
  }
  if (known.role == raft_role::kLeader) {
    known.voters_responding = raft_.ResponsiveVoterCount(now);
  }
  return known;
}

void control_node::RemoveSilentPeers() {
  std::erase_if(inbound_, [this](const auto& peer) {
    const bool is_silent = now_ - peer.second.last_seen >= kPeerTimeout;
    if (is_silent) {
      scheduled_lists_.erase(peer.first);
    }
    return is_silent;
  });
  const std::size_t removed = std::erase_if(routers_, [this](const auto& it) {
    return now_ - it.second >= kPeerTimeout;
  });
  routers_version_ += removed > 0 ? 1 : 0;
}

}  // namespace burdocklock::control
