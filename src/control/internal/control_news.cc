// What a control host tells routers and other control hosts: the operators'
// state, targets, and the load of all routers.
#include <algorithm>
#include <utility>

#include "control/control_node.h"

namespace burdocklock::control {

using quorum::raft_role;

namespace {

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
    update.control_hosts.push_back(member.peer_endpoint);
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
