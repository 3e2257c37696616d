// Links, replication and what routers are told. See the header; commands are
// in control_commands.cc.
#include "control/control_node.h"

#include <algorithm>
#include <utility>

#include <boost/outcome/success_failure.hpp>

namespace burdocklock::control {

using quorum::log_entry;
using quorum::raft_role;

namespace {

constexpr std::chrono::milliseconds kJoinPeriod{400};
// A router silent for this time no longer counts.
constexpr std::chrono::seconds kRouterSilence{8};
// Targets heard longer ago than this are left out of the full list.
constexpr std::chrono::seconds kTargetAge{30};

std::uint64_t AgeMs(time_point heard, time_point now) {
  return heard >= now
             ? 0
             : static_cast<std::uint64_t>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                         heard)
                       .count());
}

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
      now_(now),
      heartbeat_at_(now),
      targets_at_(now + options_.target_batch),
      join_at_(now) {
  SetWantedLinks();
  Drain();
}

void control_node::OnTick(time_point now) {
  now_ = now;
  if (raft_.NextDeadline() <= now) {
    raft_.OnTick(now);
  }
  if (now >= heartbeat_at_) {
    heartbeat_at_ = now + options_.links.heartbeat;
    links_.Check(now);
    for (const link_id link : links_.Up()) {
      link_port_.Send(link, Introduction());
    }
    ForgetSilentPeers();
    registry_.Expire(now);
    ExpireCommands();
  }
  if (now >= join_at_) {
    join_at_ = now + kJoinPeriod;
    AskToJoin();
  }
  if (now >= targets_at_) {
    targets_at_ = now + options_.target_batch;
    SendTargetBatch();
  }
  if (now >= contents_at_) {
    TellRoutersDue();
  }
  if (now >= load_at_) {
    SendLoad();
  }
  Drain();
}

time_point control_node::NextDeadline() const {
  return std::min({raft_.NextDeadline(), heartbeat_at_, join_at_, targets_at_,
                   contents_at_, load_at_});
}

void control_node::OnLinkUp(link_id link, time_point now) {
  now_ = now;
  links_.OnUp(link, now);
  link_port_.Send(link, Introduction());
  target_news all{.targets = AllTargets()};
  if (!all.targets.empty()) {
    link_port_.Send(link, std::move(all));
  }
  Drain();
}

void control_node::OnLinkDown(link_id link, time_point now) {
  now_ = now;
  links_.OnDown(link);
  inbound_.erase(link);
}

void control_node::OnMessage(link_id link,
                             const message& message,
                             time_point now) {
  now_ = now;
  links_.OnHeard(link, now);
  std::visit([&](const auto& value) { Handle(link, value); }, message);
  Drain();
}

void control_node::OnDurable(quorum::batch_number batch, time_point now) {
  now_ = now;
  raft_.OnDurable(batch, now);
  Drain();
}

void control_node::SetSeeds(std::vector<endpoint> seeds, time_point now) {
  now_ = now;
  options_.seeds = std::move(seeds);
  SetWantedLinks();
}

introduction control_node::Introduction() const {
  return {.daemon = options_.daemon,
          .member = raft_.Description(),
          .held = state_.revision()};
}

void control_node::Handle(link_id link, const introduction& m) {
  if (links_.Owns(link)) {
    // The answer to an own introduction; hearing it was all that mattered.
    return;
  }
  const auto [found, added] = inbound_.try_emplace(link);
  inbound_peer& peer = found->second;
  peer.described = m;
  peer.last_heard = now_;
  peer.is_router = !m.member.has_value();
  if (!peer.is_router) {
    link_port_.Send(link, Introduction());
    return;
  }
  routers_[m.daemon] = now_;
  if (added) {
    link_port_.Send(link, target_news{.targets = AllTargets()});
  }
  TellRouter(link, peer);
}

void control_node::Handle(link_id, const state_update&) {
  // For routers only.
}

void control_node::Handle(link_id, const target_news& m) {
  std::vector<targets::announcement> changed;
  for (const heard_target& target : m.targets) {
    const time_point heard = now_ - std::chrono::milliseconds(target.age_ms);
    const registry_result result = registry_.Update(target.announced, heard);
    if (result == registry_result::kChanged) {
      changed.push_back(target.announced);
    } else if (result == registry_result::kRenewed) {
      renewed_.try_emplace(target.announced.target, false);
    }
  }
  // Routers that the first hearer does not reach must know too.
  if (!changed.empty()) {
    TellTargets(changed);
  }
}

void control_node::Handle(link_id, const quorum_envelope& m) {
  if (m.to.value().empty() || m.to == raft_.self()) {
    raft_.OnMessage(m.from, m.contents, now_);
  }
}

void control_node::Handle(link_id link, const load_report& m) {
  load_.OnReport(m.daemon, m.load, now_);
  const auto peer = inbound_.find(link);
  if (peer != inbound_.end()) {
    peer->second.reports_load = true;
  }
  const auto times = static_cast<std::int64_t>(
      1 + routers_.size() / options_.routers_per_load_spacing);
  load_at_ = std::min(load_at_, load_sent_ + options_.load_spacing * times);
}

void control_node::SendLoad() {
  load_at_ = kNever;
  load_sent_ = now_;
  for (const auto& [link, peer] : inbound_) {
    if (peer.reports_load) {
      link_port_.Send(
          link, load_view{.others = load_.Others(peer.described.daemon, now_)});
    }
  }
}

void control_node::Handle(link_id, const load_view&) {
  // For routers only.
}

void control_node::Drain() {
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
    CompactWhenLong();
    output = raft_.TakeOutput();
    if (output.records.empty() && output.messages.empty() &&
        output.applied.empty() && output.reads.empty()) {
      break;
    }
  }
  NoteChanges();
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
    port_.OnProblem(applied.error());
  }
}

void control_node::CompactWhenLong() {
  if (entries_since_compaction_ < options_.compact_entries &&
      bytes_since_compaction_ < options_.compact_bytes) {
    return;
  }
  entries_since_compaction_ = 0;
  bytes_since_compaction_ = 0;
  raft_.Compact(raft_.commit(), state_.Encode());
}

void control_node::NoteChanges() {
  const bool new_leader = raft_.leader() != known_leader_;
  if (raft_.role() != known_role_ || new_leader) {
    const bool led = known_role_ == raft_role::kLeader;
    known_role_ = raft_.role();
    known_leader_ = raft_.leader();
    port_.OnRole(known_role_, raft_.term(), known_leader_);
    if (led && known_role_ != raft_role::kLeader) {
      FailCommands();
    }
  }
  if (raft_.members() != known_members_) {
    known_members_ = raft_.members();
    port_.OnMembers(known_members_);
    SetWantedLinks();
  }
  if (state_.revision() != known_revision_) {
    known_revision_ = state_.revision();
    port_.OnState(known_revision_, state_.contents());
    ExpectState();
  }
}

void control_node::SetWantedLinks() {
  std::set<endpoint> wanted(options_.seeds.begin(), options_.seeds.end());
  for (const quorum::member& member : raft_.members()) {
    wanted.insert(member.links);
  }
  wanted.erase(options_.raft.links);
  links_.SetWanted(wanted, now_);
}

void control_node::SendQuorum(const quorum::outgoing_message& message) {
  const quorum::member* to = raft_.FindMember(message.to);
  const quorum_envelope envelope{
      .from = raft_.self(), .to = message.to, .contents = message.message};
  if (to != nullptr) {
    if (const auto link = links_.To(to->links)) {
      link_port_.Send(*link, envelope);
      return;
    }
  }
  // A member that this host does not know yet is answered where it came in.
  for (const auto& [link, peer] : inbound_) {
    if (peer.described.member && peer.described.member->id == message.to) {
      link_port_.Send(link, envelope);
      return;
    }
  }
}

void control_node::AskToJoin() {
  if (!raft_.WantsToJoin(now_)) {
    return;
  }
  for (const link_id link : links_.Up()) {
    link_port_.Send(
        link,
        quorum_envelope{.from = raft_.self(),
                        .to = {},
                        .contents = quorum::join_request{raft_.Description()}});
  }
}

std::size_t control_node::router_count() const {
  return routers_.size();
}

void control_node::ExpectState() {
  const bool leads = raft_.role() == raft_role::kLeader;
  const time_point due = leads ? now_ : now_ + options_.follower_delay;
  for (auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      peer.contents_at = due;
    }
  }
  contents_at_ = due;
  if (leads) {
    TellRoutersDue();
  }
}

void control_node::TellRoutersDue() {
  contents_at_ = kNever;
  for (auto& [link, peer] : inbound_) {
    if (peer.is_router && peer.described.held < state_.revision()) {
      TellRouter(link, peer);
    }
  }
}

void control_node::TellRouter(link_id link, inbound_peer& router) {
  state_update update{.revision = state_.revision(),
                      .current = raft_.IsCurrent(now_),
                      .leads = raft_.role() == raft_role::kLeader};
  for (const quorum::member& member : raft_.members()) {
    update.control_hosts.push_back(member.links);
  }
  for (const auto& [daemon, heard] : routers_) {
    update.routers.push_back(daemon);
  }
  const bool behind = router.described.held < state_.revision();
  const bool due = now_ >= router.contents_at;
  if (behind && due && router.sent < state_.revision()) {
    update.contents = state_.contents();
    router.sent = state_.revision();
  }
  link_port_.Send(link, std::move(update));
}

void control_node::TellTargets(
    const std::vector<targets::announcement>& changed) {
  target_news news;
  for (const targets::announcement& announcement : changed) {
    news.targets.push_back({.announced = announcement, .age_ms = 0});
  }
  for (const auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      link_port_.Send(link, news);
    }
  }
}

void control_node::SendTargetBatch() {
  target_news heard_here;
  target_news heard_anywhere;
  for (const registry_entry& entry : registry_.All()) {
    const auto renewed = renewed_.find(entry.announced.target);
    if (renewed == renewed_.end()) {
      continue;
    }
    const heard_target target{.announced = entry.announced,
                              .age_ms = AgeMs(entry.heard, now_)};
    heard_anywhere.targets.push_back(target);
    if (renewed->second) {
      heard_here.targets.push_back(target);
    }
  }
  renewed_.clear();
  if (heard_here.targets.empty()) {
    return;
  }
  for (const link_id link : links_.Up()) {
    link_port_.Send(link, heard_here);
  }
  for (const auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      link_port_.Send(link, heard_here);
    }
  }
}

std::vector<heard_target> control_node::AllTargets() const {
  std::vector<heard_target> all;
  for (const registry_entry& entry : registry_.All()) {
    if (now_ - entry.heard < kTargetAge) {
      all.push_back(
          {.announced = entry.announced, .age_ms = AgeMs(entry.heard, now_)});
    }
  }
  return all;
}

void control_node::ForgetSilentPeers() {
  std::erase_if(inbound_, [this](const auto& peer) {
    return now_ - peer.second.last_heard >= kRouterSilence;
  });
  std::erase_if(routers_, [this](const auto& router) {
    return now_ - router.second >= kRouterSilence;
  });
}

void control_node::Announce(const targets::announcement& announcement) {
  const registry_result result = registry_.Update(announcement, now_);
  port_.OnTarget(announcement, result);
  if (result == registry_result::kRenewed) {
    renewed_[announcement.target] = true;
    return;
  }
  if (result != registry_result::kChanged) {
    return;
  }
  TellTargets({announcement});
  for (const link_id link : links_.Up()) {
    link_port_.Send(link, target_news{.targets = {{announcement, 0}}});
  }
}

void control_node::Withdraw(const target_id& target,
                            std::optional<incarnation> life) {
  const auto gone = registry_.Withdraw(target, life, now_);
  if (!gone) {
    return;
  }
  port_.OnTarget(*gone, registry_result::kChanged);
  TellTargets({*gone});
  for (const link_id link : links_.Up()) {
    link_port_.Send(link, target_news{.targets = {{*gone, 0}}});
  }
}

}  // namespace burdocklock::control
