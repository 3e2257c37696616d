// Links, membership and orders. Reports and grants are in fleet_reports.cc.
#include "fleet/fleet_node.h"

#include <algorithm>

namespace burdocklock::fleet {

fleet_node::fleet_node(fleet_options options,
                       routing::request_router& router,
                       i_random& random,
                       i_fleet_port& port,
                       time_point now)
    : options_(std::move(options)),
      router_(router),
      port_(port),
      members_(options_.self, options_.peer_timeout),
      coordinator_(options_.self, options_.coordinator, random),
      next_heartbeat_(now) {
  known_data_centres_.insert(options_.self.data_centre);
  for (std::size_t i = 1; i <= options_.peer_count; ++i) {
    outbound_[link_id(i)].last_contact = now;
  }
  UpdateRole(now);
}

void fleet_node::OnLinkUp(link_id link, time_point now) {
  outbound_[link].last_contact = now;
  SendHeartbeat(link, false);
}

void fleet_node::OnMessage(link_id link,
                           const message& message,
                           time_point now,
                           routing::effects& out) {
  std::visit([&](const auto& value) { Handle(link, value, now, out); },
             message);
}

void fleet_node::Handle(link_id link,
                        const heartbeat& heartbeat,
                        time_point now,
                        routing::effects& out) {
  if (heartbeat.leaving) {
    // The member keeps sending reports until its last request has ended.
    members_.MarkLeft(heartbeat.sender.daemon);
  } else {
    members_.RecordContact(heartbeat.sender, now);
  }
  MergeOrders(heartbeat.orders, now, out);
  const auto found = outbound_.find(link);
  if (found == outbound_.end()) {
    // Replies to a heartbeat from a peer on the inbound link it arrived on.
    SendHeartbeat(link, leaving_);
    return;
  }
  found->second.peer = heartbeat.sender;
  found->second.last_contact = now;
  UpdateRole(now);
}

void fleet_node::SendHeartbeat(link_id link, bool leaving) {
  port_.Send(link, heartbeat{.sender = options_.self,
                             .orders = orders_.All(),
                             .leaving = leaving});
}

void fleet_node::MergeOrders(
    const std::vector<membership::data_centre_order>& orders,
    time_point now,
    routing::effects& out) {
  for (const membership::data_centre_order& order : orders) {
    if (orders_.Merge(order)) {
      ApplyOutage(order.data_centre, now, out);
      for (const auto& [link, state] : outbound_) {
        SendHeartbeat(link, leaving_);
      }
    }
  }
}

membership::data_centre_order fleet_node::OrderDataCentre(
    const data_centre_id& data_centre,
    bool out,
    time_point now,
    routing::effects& effects) {
  membership::data_centre_order order =
      orders_.Accept(data_centre, out, options_.self.daemon);
  ApplyOutage(data_centre, now, effects);
  for (const auto& [link, state] : outbound_) {
    SendHeartbeat(link, leaving_);
  }
  return order;
}

void fleet_node::SetPlannedOutage(const data_centre_id& data_centre,
                                  bool out,
                                  time_point now,
                                  routing::effects& effects) {
  const bool changed = out ? planned_out_.insert(data_centre).second
                           : planned_out_.erase(data_centre) > 0;
  if (changed) {
    ApplyOutage(data_centre, now, effects);
  }
}

void fleet_node::ApplyOutage(const data_centre_id& data_centre,
                             time_point now,
                             routing::effects& out) {
  const bool is_out =
      orders_.IsOut(data_centre) || planned_out_.contains(data_centre);
  coordinator_.SetDataCentreOut(data_centre, is_out, now);
  router_.SetDataCentreOut(data_centre, is_out, now, out);
  if (is_coordinator_) {
    coordinator_.Allocate(now);
    SendGrants(now, out);
  }
}

targets::announce_result fleet_node::OnAnnouncement(
    const targets::announcement& announcement,
    time_point now,
    routing::effects& out) {
  known_data_centres_.insert(announcement.data_centre);
  const targets::announce_result result =
      coordinator_.OnAnnouncement(announcement, now);
  const auto coordinator = CoordinatorFor(announcement.data_centre, now);
  if (!coordinator || result == targets::announce_result::kStale) {
    return result;
  }
  if (coordinator->daemon != options_.self.daemon) {
    report_state& state = ReportStateFor(coordinator->daemon);
    state.announcements.push_back(announcement);
    // Leaving targets must get no new requests, and new targets should be used
    // soon.
    state.urgent |= result != targets::announce_result::kUpdated ||
                    announcement.state == targets::target_state::kLeaving;
  } else if (is_coordinator_) {
    coordinator_.Allocate(now);
    SendGrants(now, out);
  }
  return result;
}

void fleet_node::OnTick(time_point now, routing::effects& out) {
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat_interval;
    CheckLinks(now);
    for (const auto& [link, state] : outbound_) {
      SendHeartbeat(link, leaving_);
    }
    UpdateRole(now);
    UpdateCapacity(now);
    if (is_coordinator_) {
      coordinator_.Allocate(now);
      SendGrants(now, out);
    }
  }
  if (pending_role_change_) {
    out.emplace_back(
        routing::coordinator_changed{.data_centre = options_.self.data_centre,
                                     .coordinates = *pending_role_change_});
    pending_role_change_.reset();
  }
  AfterRouterEvent(now, out);
}

time_point fleet_node::NextDeadline() const {
  return std::min(next_heartbeat_, next_report_check_);
}

void fleet_node::CheckLinks(time_point now) {
  for (auto& [link, state] : outbound_) {
    if (now - state.last_contact >= options_.peer_timeout) {
      state.last_contact = now;
      port_.Reopen(link);
    }
  }
}

void fleet_node::UpdateRole(time_point now) {
  const auto first = members_.Coordinator(options_.self.data_centre, now);
  const bool coordinates = first && first->daemon == options_.self.daemon;
  if (coordinates != is_coordinator_) {
    pending_role_change_ = coordinates;
  }
  if (coordinates && !is_coordinator_) {
    const std::size_t others =
        std::max(options_.peer_count, members_.Alive(now).size() - 1);
    coordinator_.Start(others + 1, now);
  }
  is_coordinator_ = coordinates;
  if (!is_coordinator_) {
    return;
  }
  const auto coordinators = Coordinators(now);
  const auto own = coordinators.find(options_.self.daemon);
  if (own != coordinators.end()) {
    coordinator_.SetServed(own->second, now);
  }
}

std::optional<membership::member> fleet_node::CoordinatorFor(
    const data_centre_id& data_centre,
    time_point now) const {
  if (auto local = members_.Coordinator(data_centre, now)) {
    return local;
  }
  // No daemon is alive there: the coordinator with the smallest daemon id in
  // the region takes over its targets.
  std::optional<membership::member> first;
  for (const data_centre_id& other : members_.DataCentres(now)) {
    const auto candidate = members_.Coordinator(other, now);
    if (candidate && (!first || candidate->daemon < first->daemon)) {
      first = candidate;
    }
  }
  return first;
}

std::map<daemon_id, std::vector<data_centre_id>> fleet_node::Coordinators(
    time_point now) const {
  std::set<data_centre_id> data_centres = known_data_centres_;
  for (const data_centre_id& data_centre : members_.DataCentres(now)) {
    data_centres.insert(data_centre);
  }
  std::map<daemon_id, std::vector<data_centre_id>> coordinators;
  for (const data_centre_id& data_centre : data_centres) {
    if (const auto coordinator = CoordinatorFor(data_centre, now)) {
      coordinators[coordinator->daemon].push_back(data_centre);
    }
  }
  return coordinators;
}

void fleet_node::BeginLeave(time_point now) {
  leaving_ = true;
  members_.MarkSelfLeaving();
  UpdateRole(now);
  for (const auto& [link, state] : outbound_) {
    SendHeartbeat(link, true);
  }
}

void fleet_node::EndLeave(time_point now) {
  for (const auto& [coordinator, served] : Coordinators(now)) {
    report_state& state = ReportStateFor(coordinator);
    allocation::router_report report{.sender = options_.self, .leaving = true};
    const auto recipient = FindAlive(coordinator, now);
    if (recipient && coordinator != options_.self.daemon) {
      state.client.PrepareReport(report, *recipient, now);
      SendTo(coordinator, report);
    }
  }
}

std::optional<membership::member> fleet_node::FindAlive(const daemon_id& daemon,
                                                        time_point now) const {
  for (const membership::member& member : members_.Alive(now)) {
    if (member.daemon == daemon) {
      return member;
    }
  }
  return std::nullopt;
}

void fleet_node::SendTo(const daemon_id& daemon, const message& message) {
  for (const auto& [link, state] : outbound_) {
    if (state.peer && state.peer->daemon == daemon) {
      port_.Send(link, message);
      return;
    }
  }
}

}  // namespace burdocklock::fleet
