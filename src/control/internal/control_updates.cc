// Updates that a control host sends to routers and other control hosts:
// operator state, targets, the load of routers, and where streams began.
#include <algorithm>
#include <set>
#include <utility>

#include "control/control_node.h"

namespace burdocklock::control {

using quorum::raft_role;

namespace {

// Targets not seen for this time are left out of the full list.
constexpr std::chrono::seconds kMaxTargetAge{30};
constexpr std::chrono::seconds kMarginReportInterval{1};
// Between looks at links that had no room for whole lists.
constexpr std::chrono::milliseconds kListRetryInterval{50};

// Evidence at all its bounds, 131,072 suspects, is stored each 2.6 s.
constexpr std::chrono::microseconds kStoreTimePerSuspect{20};

std::int64_t CountSuspects(const crashes::evidence& known) {
  std::size_t count = known.served.size() + known.blocked.size();
  for (const crashes::target_end& end : known.ends) {
    count += end.parts.size() + end.requests.size();
  }
  return static_cast<std::int64_t>(count);
}

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
  for (const rollouts::rollout_outcomes& outcomes : m.outcomes) {
    const auto running = rollouts_.find(outcomes.pool);
    if (running != rollouts_.end() &&
        running->second.controller.order().version == outcomes.version) {
      running->second.outcomes.OnReport(m.daemon, outcomes);
    }
  }
  const auto peer = inbound_.find(link);
  if (peer != inbound_.end()) {
    peer->second.reports_load = true;
  }
  next_load_send_ =
      std::min(next_load_send_,
               last_load_send_ + ScaledInterval(options_.min_load_interval));
}

duration control_node::ScaledInterval(duration interval) const {
  return interval * static_cast<std::int64_t>(
                        1 + routers_.size() / options_.routers_per_interval);
}

std::vector<link_id> control_node::RouterLinks() const {
  std::vector<link_id> links;
  for (const auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      links.push_back(link);
    }
  }
  return links;
}

void control_node::SendLoad() {
  next_load_send_ = kNever;
  last_load_send_ = now_;
  const load_totals totals = load_.Totals(now_);
  ReportLeastShare(totals);
  for (const auto& [link, peer] : inbound_) {
    if (peer.reports_load) {
      link_port_.Send(link,
                      load_summary{.others = load_.LoadOfOthers(
                                       totals, peer.last_introduction.daemon)});
    }
  }
}

void control_node::ReportLeastShare(const load_totals& totals) {
  std::vector<admission::customer_flow> flows;
  for (const auto& [of, flow] : totals.customers) {
    flows.push_back(flow);
  }
  margin_.OnTotals(std::move(flows), now_);
  if (now_ < next_margin_report_) {
    return;
  }
  next_margin_report_ = now_ + kMarginReportInterval;
  if (const auto least = margin_.Least()) {
    port_.OnLeastShare(*least);
  }
}

void control_node::Handle(link_id link, const evidence_update& m) {
  crashes::evidence news = evidence_.Merge(m.contents, now_);
  if (news.empty()) {
    return;
  }
  if (!IsFromHost(link)) {
    new_evidence_of_routers_.Append(news);
  }
  new_evidence_.Append(std::move(news));
  next_evidence_send_ =
      std::min(next_evidence_send_, now_ + options_.evidence_interval);
  next_evidence_store_ =
      std::min(next_evidence_store_, std::max(evidence_storable_at_, now_));
}

void control_node::StoreEvidence() {
  next_evidence_store_ = kNever;
  crashes::evidence known = evidence_.All(now_);
  evidence_storable_at_ =
      now_ + std::max<duration>(options_.evidence_store_interval,
                                kStoreTimePerSuspect * CountSuspects(known));
  port_.StoreEvidence(std::move(known));
}

void control_node::SendNewEvidence() {
  next_evidence_send_ = kNever;
  const evidence_update for_hosts{
      .contents = std::exchange(new_evidence_of_routers_, {})};
  if (!for_hosts.contents.empty()) {
    link_port_.SendToAll(ReadyForNews(links_.OpenLinks()), for_hosts);
  }
  const evidence_update for_routers{.contents =
                                        std::exchange(new_evidence_, {})};
  link_port_.SendToAll(ReadyForNews(RouterLinks()), for_routers);
}

bool control_node::IsFromHost(link_id link) const {
  const auto peer = inbound_.find(link);
  return links_.Owns(link) ||
         (peer != inbound_.end() && !peer->second.is_router);
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
  if (!is_leader && next_state_send_ != kNever) {
    // Otherwise each change would put off those before it.
    return;
  }
  // Changes that follow one another quickly are sent as one.
  const time_point due =
      is_leader
          ? std::max(now_, last_state_send_ +
                               ScaledInterval(options_.min_state_interval))
          : now_ + options_.follower_update_delay;
  for (auto& [link, peer] : inbound_) {
    if (peer.is_router) {
      peer.contents_due = due;
    }
  }
  next_state_send_ = due;
  due_revision_ = state_.revision();
  if (due <= now_) {
    SendDueStateUpdates();
  }
}

void control_node::SendDueStateUpdates() {
  next_state_send_ = kNever;
  last_state_send_ = now_;
  state_update update = MakeStateUpdate();
  update.contents = state_.contents();
  std::vector<link_id> behind;
  for (auto& [link, peer] : inbound_) {
    if (!peer.is_router || !IsBehind(peer, due_revision_) ||
        !link_port_.HasRoom(link)) {
      continue;
    }
    peer.sent_revision = state_.revision();
    AddRouters(peer, update);
    behind.push_back(link);
  }
  link_port_.SendToAll(behind, update);
  if (due_revision_ < state_.revision()) {
    ScheduleStateUpdates();
  }
}

state_update control_node::MakeStateUpdate() const {
  state_update update{.revision = state_.revision(),
                      .current = raft_.IsCurrent(now_),
                      .is_leader = raft_.role() == raft_role::kLeader};
  for (const quorum::member& member : raft_.members()) {
    update.control_hosts.push_back(member.peer_endpoint);
  }
  if (update.control_hosts.empty()) {
    update.control_hosts = IntroducedHosts();
  }
  return update;
}

std::vector<endpoint> control_node::IntroducedHosts() const {
  std::set<endpoint> hosts;
  for (const auto& [link, peer] : inbound_) {
    if (peer.last_introduction.member) {
      hosts.insert(peer.last_introduction.member->peer_endpoint);
    }
  }
  return {hosts.begin(), hosts.end()};
}

void control_node::AddRouters(inbound_peer& router,
                              state_update& update) const {
  const bool knows_all = now_ - started_ >= options_.router_list_delay;
  if (!knows_all || router.sent_routers == routers_version_) {
    return;
  }
  // Routers take the list from a sender only whose state is the newest.
  router.sent_routers = update.current ? routers_version_ : 0;
  if (!update.routers.empty()) {
    return;
  }
  for (const auto& [daemon, last_seen] : routers_) {
    update.routers.push_back(daemon);
  }
}

bool control_node::IsBehind(const inbound_peer& router,
                            state_revision revision) const {
  return std::max(router.last_introduction.applied_revision,
                  router.sent_revision) < revision;
}

bool control_node::IsBehind(const inbound_peer& router) const {
  return IsBehind(router, state_.revision());
}

void control_node::SendStateUpdate(link_id link, inbound_peer& router) {
  state_update update = MakeStateUpdate();
  AddRouters(router, update);
  const bool due = now_ >= router.contents_due;
  if (IsBehind(router) && due && link_port_.HasRoom(link)) {
    update.contents = state_.contents();
    router.sent_revision = state_.revision();
  }
  link_port_.Send(link, std::move(update));
}

void control_node::ScheduleChange(const targets::announcement& changed,
                                  bool received_here) {
  changed_targets_[changed.target] |= received_here;
  next_change_send_ =
      std::min(next_change_send_, now_ + options_.target_change_interval);
}

void control_node::SendTargetChanges() {
  next_change_send_ = kNever;
  target_update received_here;
  target_update all;
  for (const auto& [target, is_received_here] :
       std::exchange(changed_targets_, {})) {
    const registry_entry* entry = registry_.Find(target);
    if (entry == nullptr) {
      continue;
    }
    all.targets.push_back({.announced = entry->announced,
                           .age_ms = AgeMs(entry->last_seen, now_)});
    if (is_received_here) {
      received_here.targets.push_back(all.targets.back());
    }
  }
  if (!all.targets.empty()) {
    link_port_.SendToAll(ReadyForNews(RouterLinks()), all);
  }
  if (!received_here.targets.empty()) {
    link_port_.SendToAll(ReadyForNews(links_.OpenLinks()), received_here);
  }
  SendScheduledLists();
}

std::vector<link_id> control_node::ReadyForNews(
    const std::vector<link_id>& links) {
  std::vector<link_id> with_room;
  for (const link_id link : links) {
    if (scheduled_lists_.contains(link)) {
      continue;
    }
    if (link_port_.HasRoom(link)) {
      with_room.push_back(link);
    } else {
      ScheduleLists(link, kListRetryInterval);
    }
  }
  return with_room;
}

void control_node::ScheduleLists(link_id link, duration delay) {
  scheduled_lists_.insert(link);
  next_change_send_ = std::min(next_change_send_, now_ + delay);
}

void control_node::SendScheduledLists() {
  std::vector<link_id> with_room;
  for (const link_id link : scheduled_lists_) {
    if (link_port_.HasRoom(link)) {
      with_room.push_back(link);
    }
  }
  if (with_room.size() < scheduled_lists_.size()) {
    next_change_send_ = std::min(next_change_send_, now_ + kListRetryInterval);
  }
  for (const link_id link : with_room) {
    scheduled_lists_.erase(link);
    // Before the lists take the room.
    const auto peer = inbound_.find(link);
    if (peer != inbound_.end() && peer->second.is_router &&
        IsBehind(peer->second)) {
      SendStateUpdate(link, peer->second);
    }
  }
  if (!with_room.empty()) {
    SendLists(with_room);
  }
}

void control_node::SendLists(const std::vector<link_id>& links) {
  const evidence_update evidence{.contents = evidence_.All(now_)};
  if (!evidence.contents.empty()) {
    link_port_.SendToAll(links, evidence);
  }
  const target_update targets{.targets = RecentTargets()};
  if (!targets.targets.empty()) {
    link_port_.SendToAll(links, targets);
  }
}

void control_node::SendTargetBatch() {
  target_update renewals;
  for (const auto& [target, is_received_here] :
       std::exchange(renewed_targets_, {})) {
    const registry_entry* entry =
        is_received_here ? registry_.Find(target) : nullptr;
    if (entry != nullptr) {
      renewals.targets.push_back({.announced = entry->announced,
                                  .age_ms = AgeMs(entry->last_seen, now_)});
    }
  }
  if (renewals.targets.empty()) {
    return;
  }
  link_port_.SendToAll(ReadyForNews(links_.OpenLinks()), renewals);
  link_port_.SendToAll(ReadyForNews(RouterLinks()), renewals);
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
  ScheduleChange(announcement, true);
}

void control_node::Withdraw(const target_id& target,
                            std::optional<incarnation> life) {
  const auto withdrawn = registry_.Withdraw(target, life, now_);
  if (!withdrawn) {
    return;
  }
  port_.OnTarget(*withdrawn, registry_result::kChanged);
  ScheduleChange(*withdrawn, true);
}

}  // namespace burdocklock::control
