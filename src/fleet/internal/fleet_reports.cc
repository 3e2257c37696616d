// Sending and handling of reports and grants.
#include <algorithm>
#include <utility>

#include "fleet/fleet_node.h"

namespace burdocklock::fleet {

using allocation::pool_status;

namespace {

const pool_status* FindPoolStatus(const std::vector<pool_status>& pool_statuses,
                                  const pool_id& pool) {
  const auto found = std::find_if(
      pool_statuses.begin(), pool_statuses.end(),
      [&](const pool_status& status) { return status.pool == pool; });
  return found == pool_statuses.end() ? nullptr : &*found;
}

}  // namespace

fleet_node::report_state& fleet_node::ReportStateFor(
    const daemon_id& coordinator) {
  return report_states_
      .try_emplace(coordinator, report_state(options_.coordinator.lease))
      .first->second;
}

void fleet_node::AfterRouterEvent(time_point now, routing::effects& out) {
  if (NeedsUrgencyCheck()) {
    MarkUrgent(router_.Load(), now);
  }
  SendDueReports(now, out);
}

bool fleet_node::NeedsUrgencyCheck() {
  if (router_.totals().waiting > 0 ||
      router_.mutable_directory().HasUrgentEvidence()) {
    return true;
  }
  return std::any_of(
      report_states_.begin(), report_states_.end(), [](const auto& entry) {
        const auto& pool_statuses = entry.second.client.pool_statuses();
        return std::any_of(pool_statuses.begin(), pool_statuses.end(),
                           [](const pool_status& s) { return s.scarce; });
      });
}

void fleet_node::MarkUrgent(const load_list& loads, time_point now) {
  targets::target_directory& directory = router_.mutable_directory();
  std::set<pool_id> waiting_pools;
  for (const auto& load : loads) {
    if (load.waiting == 0) {
      continue;
    }
    waiting_pools.insert(load.pool);
    for (auto& [coordinator, state] : report_states_) {
      if (!state.waiting.contains({load.pool, load.customer})) {
        state.urgent = true;
      }
    }
  }
  for (auto& [coordinator, state] : report_states_) {
    for (const pool_status& status : state.client.pool_statuses()) {
      const bool needed_elsewhere =
          status.scarce && !waiting_pools.contains(status.pool);
      if (needed_elsewhere && directory.FreeLeased(status.pool, now) > 0 &&
          directory.ReleaseIdleLeases(status.pool)) {
        state.urgent = true;
      }
    }
  }
  if (directory.HasUrgentEvidence()) {
    for (auto& [coordinator, state] : report_states_) {
      state.urgent = true;
    }
  }
}

bool fleet_node::IsDue(const daemon_id& coordinator,
                       const report_state& state,
                       time_point now) const {
  const duration age = now - state.last_report;
  // Reports to this daemon itself are not sent over the network.
  const duration spacing = coordinator == options_.self.daemon
                               ? duration::zero()
                               : options_.min_report_interval;
  return age >= options_.heartbeat_interval || (state.urgent && age >= spacing);
}

void fleet_node::SendDueReports(time_point now, routing::effects& out) {
  next_report_check_ = kNever;
  if (leaving_ && router_.totals().waiting + router_.totals().in_flight == 0) {
    return;
  }
  for (const auto& [coordinator, served] : Coordinators(now)) {
    report_state& state = ReportStateFor(coordinator);
    if (IsDue(coordinator, state, now)) {
      SendReport(coordinator, served, router_.Load(), now, out);
    } else if (state.urgent) {
      next_report_check_ = std::min(
          next_report_check_, state.last_report + options_.min_report_interval);
    }
  }
}

void fleet_node::SendReport(const daemon_id& coordinator,
                            const std::vector<data_centre_id>& served,
                            const load_list& loads,
                            time_point now,
                            routing::effects& out) {
  const auto recipient = FindAlive(coordinator, now);
  if (!recipient) {
    return;
  }
  report_state& state = ReportStateFor(coordinator);
  state.last_report = now;
  state.urgent = false;
  allocation::router_report report{.sender = options_.self,
                                   .orders = orders_.All()};
  report.announcements = std::exchange(state.announcements, {});
  targets::target_directory& directory = router_.mutable_directory();
  for (const data_centre_id& data_centre : served) {
    for (auto& evidence : directory.TakeEvidence(data_centre)) {
      report.evidence.push_back(std::move(evidence));
    }
    for (const auto& holding : directory.Leases(data_centre)) {
      report.holdings.push_back({.target = holding.target,
                                 .life = holding.life,
                                 .limit = holding.limit,
                                 .in_use = holding.in_use,
                                 .ramp_limit = holding.ramp_limit});
    }
  }
  FillDemand(report, state, coordinator, served, loads);
  state.client.PrepareReport(report, *recipient, now);
  if (coordinator == options_.self.daemon) {
    Handle(link_id(0), report, now, out);
    return;
  }
  SendTo(coordinator, report);
}

void fleet_node::FillDemand(allocation::router_report& report,
                            report_state& state,
                            const daemon_id& coordinator,
                            const std::vector<data_centre_id>& served,
                            const load_list& loads) const {
  std::map<pool_id, std::vector<allocation::customer_demand>> demand;
  state.waiting.clear();
  for (const auto& load : loads) {
    std::uint32_t running = 0;
    for (const data_centre_id& data_centre : served) {
      const auto found = load.running.find(data_centre);
      running += found == load.running.end() ? 0 : found->second;
    }
    const std::pair<pool_id, customer_id> key{load.pool, load.customer};
    double& reported = state.service[key];
    if (load.waiting == 0 && running == 0 && reported == load.service) {
      continue;
    }
    reported = load.service;
    if (load.waiting > 0) {
      state.waiting.insert(key);
    }
    demand[load.pool].push_back(
        {.customer = load.customer,
         .share = load.share,
         .waiting = WaitingToReport(coordinator, load.pool, load.waiting),
         .running = running,
         .service = load.service});
  }
  for (auto& [pool, customers] : demand) {
    report.demand.push_back({.pool = pool, .customers = std::move(customers)});
  }
}

std::uint32_t fleet_node::WaitingToReport(const daemon_id& coordinator,
                                          const pool_id& pool,
                                          std::uint32_t waiting) const {
  std::uint64_t total = 0;
  std::uint64_t coordinator_capacity = 0;
  bool local_has_capacity = false;
  bool is_local = false;
  for (const auto& [other, state] : report_states_) {
    const pool_status* status =
        FindPoolStatus(state.client.pool_statuses(), pool);
    const std::uint32_t capacity = status == nullptr ? 0 : status->capacity;
    total += capacity;
    coordinator_capacity += other == coordinator ? capacity : 0;
    const auto local =
        members_.Coordinator(options_.self.data_centre, state.last_report);
    if (local && local->daemon == other) {
      local_has_capacity = status != nullptr && capacity > 0 && !status->scarce;
      is_local = other == coordinator;
    }
  }
  if (local_has_capacity || total == 0) {
    return is_local || total == 0 ? waiting : 0;
  }
  // If the local data centre has too few slots, demand is spread over all
  // coordinators in proportion to their capacity.
  return static_cast<std::uint32_t>(
      (waiting * coordinator_capacity + total - 1) / total);
}

void fleet_node::Handle(link_id link,
                        const allocation::router_report& report,
                        time_point now,
                        routing::effects& out) {
  if (link != link_id(0)) {
    members_.RecordContact(report.sender, now);
    MergeOrders(report.orders, now, out);
    report_links_[report.sender.daemon] = link;
  }
  for (const targets::announcement& announcement : report.announcements) {
    known_data_centres_.insert(announcement.data_centre);
  }
  if (!is_coordinator_) {
    return;
  }
  coordinator_.OnReport(report, now);
  coordinator_.Allocate(now);
  SendGrants(now, out);
}

void fleet_node::SendGrants(time_point now, routing::effects& out) {
  for (auto& [router, grant] : coordinator_.TakeGrants()) {
    grant.orders = orders_.All();
    if (router == options_.self.daemon) {
      ApplyGrant(grant, now, out);
      continue;
    }
    const auto link = report_links_.find(router);
    if (link != report_links_.end()) {
      port_.Send(link->second, grant);
    }
  }
}

void fleet_node::Handle(link_id link,
                        const allocation::grant_table& grant,
                        time_point now,
                        routing::effects& out) {
  members_.RecordContact(grant.sender, now);
  const auto found = outbound_.find(link);
  if (found != outbound_.end()) {
    found->second.last_contact = now;
  }
  MergeOrders(grant.orders, now, out);
  ApplyGrant(grant, now, out);
}

void fleet_node::ApplyGrant(const allocation::grant_table& grant,
                            time_point now,
                            routing::effects& out) {
  report_state& state = ReportStateFor(grant.sender.daemon);
  if (!state.client.Apply(grant)) {
    return;
  }
  ApplyPoolStatuses(state);
  UpdateCapacity(now);
  for (const data_centre_id& data_centre : grant.served) {
    std::vector<targets::target_lease> leases;
    for (const targets::target_lease& lease : grant.leases) {
      if (lease.target.data_centre == data_centre) {
        leases.push_back(lease);
      }
    }
    EmitLeaseChanges(data_centre, leases, grant.sender.daemon, out);
    router_.ApplyLeases(data_centre, leases, state.client.valid_until(), now,
                        out);
  }
}

void fleet_node::EmitLeaseChanges(
    const data_centre_id& data_centre,
    const std::vector<targets::target_lease>& leases,
    const daemon_id& lessor,
    routing::effects& out) const {
  std::map<target_id, std::uint32_t> before;
  for (const auto& held : router_.directory().Leases(data_centre)) {
    before[held.target] = held.limit;
  }
  const auto emit = [&](const target_id& target, std::uint32_t limit) {
    out.emplace_back(routing::lease_changed{.target = target,
                                            .previous = before[target],
                                            .limit = limit,
                                            .lessor = lessor});
  };
  for (const targets::target_lease& lease : leases) {
    if (before[lease.target.target] != lease.limit) {
      emit(lease.target.target, lease.limit);
    }
    before.erase(lease.target.target);
  }
  for (const auto& [target, limit] : before) {
    if (limit > 0) {
      emit(target, 0);
    }
  }
}

void fleet_node::ApplyPoolStatuses(const report_state& state) {
  // `state.service` belongs to the last report, so that service charged since
  // then can be added only to a grant that answers that report.
  if (state.client.last_answered() != state.client.last_sequence()) {
    return;
  }
  const load_list loads = router_.Load();
  for (const auto& load : loads) {
    const pool_status* status =
        FindPoolStatus(state.client.pool_statuses(), load.pool);
    if (status == nullptr) {
      continue;
    }
    for (const allocation::customer_status& customer : status->customers) {
      if (customer.customer != load.customer) {
        continue;
      }
      const auto reported = state.service.find({load.pool, load.customer});
      const double since =
          reported == state.service.end() ? 0 : load.service - reported->second;
      router_.SetVirtualService(load.pool, load.customer,
                                customer.virtual_service + since / load.share);
    }
  }
}

void fleet_node::UpdateCapacity(time_point now) {
  std::map<pool_id, std::uint32_t> capacity;
  for (const auto& [coordinator, state] : report_states_) {
    const bool in_force = now < state.client.valid_until();
    for (const pool_status& status : state.client.pool_statuses()) {
      capacity[status.pool] += in_force ? status.capacity : 0;
    }
  }
  for (const auto& [pool, slots] : capacity) {
    router_.mutable_directory().SetPoolCapacity(pool, slots);
  }
}

}  // namespace burdocklock::fleet
