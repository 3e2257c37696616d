// Updates that a control host sends to routers and other control hosts:
// operator state, targets, the load of routers, and where streams began.
#include <algorithm>
#include <utility>

#include "control/control_node.h"

namespace burdocklock::control {

using quorum::raft_role;

namespace {

// Targets not seen for this time are left out of the full list.
constexpr std::chrono::seconds kMaxTargetAge{30};

std::uint64_t AgeMs(time_point last_seen, time_point now) {
  return last_seen >= now
             ? 0
             : static_cast<std::uint64_t>(
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       now - last_seen)
                       .count());
}

}  // namespace

void control_node::Handle(link_id link, const load_report& m) {
  load_.OnReport(m.daemon, m.load, now_);
  const auto peer = inbound_.find(link);
  if (peer != inbound_.end()) {
    peer->second.reports_load = true;
  }
  const auto intervals = static_cast<std::int64_t>(
      1 + routers_.size() / options_.routers_per_load_interval);
  next_load_send_ =
      std::min(next_load_send_,
               last_load_send_ + options_.min_load_interval * intervals);
}

void control_node::SendLoad() {
  next_load_send_ = kNever;
  last_load_send_ = now_;
  for (const auto& [link, peer] : inbound_) {
    if (peer.reports_load) {
      link_port_.Send(link,
                      load_summary{.others = load_.LoadOfOthers(
                                       peer.last_introduction.daemon, now_)});
    }
  }
}

void control_node::Handle(link_id, const evidence_update& m) {
  crashes::evidence news = evidence_.Merge(m.contents, now_);
  if (news.empty()) {
    return;
  }
  new_evidence_.Append(std::move(news));
  next_evidence_send_ =
      std::min(next_evidence_send_, now_ + options_.evidence_interval);
}

void control_node::SendAllEvidence(link_id link) {
  crashes::evidence all = evidence_.All(now_);
  if (!all.empty()) {
    link_port_.Send(link, evidence_update{.contents = std::move(all)});
  }
}

void control_node::SendNewEvidence() {
  next_evidence_send_ = kNever;
  const evidence_update update{.contents = std::exchange(new_evidence_, {})};
  for (const link_id link : links_.OpenLinks()) {
    link_port_.Send(link, update);
  }
  for (const auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      link_port_.Send(link, update);
    }
  }
}

void control_node::Handle(link_id, const stream_update& m) {
  for (const streams::stream_record& record : m.records) {
    if (streams_.Record(record, now_) ==
        streams::record_result::kContradiction) {
      port_.OnStreamContradiction(record);
    }
  }
}

void control_node::Handle(link_id link, const stream_query& m) {
  stream_answer answer;
  for (const stream_key key : m.keys) {
    if (auto record = streams_.Find(key, now_)) {
      answer.known.push_back(*std::move(record));
    } else {
      answer.unknown.push_back(key);
    }
  }
  stream_questions_.asked += m.keys.size();
  stream_questions_.answered_unknown += answer.unknown.size();
  link_port_.Send(link, answer);
}

void control_node::ExpireStreams() {
  streams_.Expire(now_);
  const std::uint64_t dropped = streams_.dropped();
  if (dropped != reported_stream_drops_) {
    port_.OnStreamsDropped(dropped -
                           std::exchange(reported_stream_drops_, dropped));
  }
}

std::size_t control_node::router_count() const {
  return routers_.size();
}

void control_node::ScheduleStateUpdates() {
  const bool is_leader = raft_.role() == raft_role::kLeader;
  const time_point due =
      is_leader ? now_ : now_ + options_.follower_update_delay;
  for (auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      peer.contents_due = due;
    }
  }
  next_state_send_ = due;
  if (is_leader) {
    SendDueStateUpdates();
  }
}

void control_node::SendDueStateUpdates() {
  next_state_send_ = kNever;
  for (auto& [link, peer] : inbound_) {
    if (peer.is_router &&
        peer.last_introduction.applied_revision < state_.revision()) {
      SendStateUpdate(link, peer);
    }
  }
}

void control_node::SendStateUpdate(link_id link, inbound_peer& router) {
  state_update update{.revision = state_.revision(),
                      .current = raft_.IsCurrent(now_),
                      .is_leader = raft_.role() == raft_role::kLeader};
  for (const quorum::member& member : raft_.members()) {
    update.control_hosts.push_back(member.peer_endpoint);
  }
  if (now_ - started_ >= options_.router_list_delay) {
    for (const auto& [daemon, last_seen] : routers_) {
      update.routers.push_back(daemon);
    }
  }
  const bool behind =
      router.last_introduction.applied_revision < state_.revision();
  const bool due = now_ >= router.contents_due;
  if (behind && due && router.sent_revision < state_.revision()) {
    update.contents = state_.contents();
    router.sent_revision = state_.revision();
  }
  link_port_.Send(link, std::move(update));
}

void control_node::SendTargetsToRouters(
    const std::vector<targets::announcement>& changed) {
  target_update update;
  for (const targets::announcement& announcement : changed) {
    update.targets.push_back({.announced = announcement, .age_ms = 0});
  }
  for (const auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      link_port_.Send(link, update);
    }
  }
}

void control_node::SendTargetBatch() {
  target_update local_renewals;
  target_update all_renewals;
  for (const registry_entry& entry : registry_.All()) {
    const auto renewed = renewed_targets_.find(entry.announced.target);
    if (renewed == renewed_targets_.end()) {
      continue;
    }
    const aged_announcement target{.announced = entry.announced,
                                   .age_ms = AgeMs(entry.last_seen, now_)};
    all_renewals.targets.push_back(target);
    if (renewed->second) {
      local_renewals.targets.push_back(target);
    }
  }
  renewed_targets_.clear();
  if (local_renewals.targets.empty()) {
    return;
  }
  for (const link_id link : links_.OpenLinks()) {
    link_port_.Send(link, local_renewals);
  }
  for (const auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      link_port_.Send(link, local_renewals);
    }
  }
}

std::vector<aged_announcement> control_node::RecentTargets() const {
  std::vector<aged_announcement> all;
  for (const registry_entry& entry : registry_.All()) {
    if (now_ - entry.last_seen < kMaxTargetAge) {
      all.push_back({.announced = entry.announced,
                     .age_ms = AgeMs(entry.last_seen, now_)});
    }
  }
  return all;
}

void control_node::Announce(const targets::announcement& announcement) {
  const registry_result result = registry_.Update(announcement, now_);
  port_.OnTarget(announcement, result);
  if (result == registry_result::kRenewed) {
    renewed_targets_[announcement.target] = true;
    return;
  }
  if (result != registry_result::kChanged) {
    return;
  }
  SendTargetsToRouters({announcement});
  for (const link_id link : links_.OpenLinks()) {
    link_port_.Send(link, target_update{.targets = {{announcement, 0}}});
  }
}

void control_node::Withdraw(const target_id& target,
                            std::optional<incarnation> life) {
  const auto withdrawn = registry_.Withdraw(target, life, now_);
  if (!withdrawn) {
    return;
  }
  port_.OnTarget(*withdrawn, registry_result::kChanged);
  SendTargetsToRouters({*withdrawn});
  for (const link_id link : links_.OpenLinks()) {
    link_port_.Send(link, target_update{.targets = {{*withdrawn, 0}}});
  }
}

}  // namespace burdocklock::control
