// Reports, lease expiry and grants. Slot allocation is in slot_allocation.cc.
#include "allocation/slot_coordinator.h"

#include <algorithm>
#include <utility>

namespace burdocklock::allocation {

slot_coordinator::slot_coordinator(membership::member self,
                                   coordinator_options options,
                                   i_random& random)
    : self_(std::move(self)),
      options_(std::move(options)),
      directory_(options_.directory, random) {}

void slot_coordinator::Start(std::size_t expected_routers, time_point now) {
  served_.clear();
  served_.emplace(self_.data_centre, now);
  leases_ = {};
  routers_.clear();
  pools_.clear();
  reported_since_start_.clear();
  expected_routers_ = expected_routers;
  adopting_until_ = now + options_.lease + options_.lease_margin;
}

bool slot_coordinator::IsAdopting(time_point now) const {
  return now < adopting_until_ &&
         reported_since_start_.size() < expected_routers_;
}

void slot_coordinator::OnReport(const router_report& report, time_point now) {
  if (!AcceptSender(report, now)) {
    return;
  }
  const daemon_id& sender = report.sender.daemon;
  for (const targets::announcement& announcement : report.announcements) {
    OnAnnouncement(announcement, now);
  }
  if (report.leaving) {
    RemoveRouter(sender);
    return;
  }
  router_state& router = routers_[sender];
  const bool adopting = !reported_since_start_.contains(sender);
  const bool confirmed = report.applied_from == self_.life &&
                         report.applied_grant == router.grant_version;
  if (adopting) {
    AdoptRamp(report);
  }
  leases_.Apply(sender, report.holdings, confirmed, adopting);
  reported_since_start_.insert(sender);
  ApplyEvidence(report, now);
  ApplyDemand(report, router);
  router.dirty = true;
}

bool slot_coordinator::AcceptSender(const router_report& report,
                                    time_point now) {
  const daemon_id& sender = report.sender.daemon;
  const auto known = routers_.find(sender);
  if (known != routers_.end()) {
    router_state& router = known->second;
    if (report.sender.life < router.info.life) {
      return false;
    }
    if (report.sender.life > router.info.life) {
      // The previous process has ended, which closed its connections to
      // targets.
      RemoveRouter(sender);
    } else if (report.sequence <= router.last_sequence) {
      return false;
    }
  }
  router_state& router = routers_[sender];
  router.info = report.sender;
  router.last_sequence = report.sequence;
  router.last_report = now;
  return true;
}

void slot_coordinator::ApplyDemand(const router_report& report,
                                   router_state& router) {
  const daemon_id& sender = report.sender.daemon;
  for (auto& [pool, demand] : router.demand) {
    for (customer_demand& customer : demand) {
      customer.waiting = 0;
      customer.running = 0;
    }
  }
  for (const pool_demand& pool : report.demand) {
    service_ledger& ledger = pools_[pool.pool].ledger;
    double service = 0;
    for (const customer_demand& customer : pool.customers) {
      service += ledger.Update(sender, report.sender.life, customer);
    }
    ledger.RecordRequests(service, CountSuccesses(report, pool.pool));
    router.demand[pool.pool] = pool.customers;
  }
  for (const auto& [pool, demand] : router.demand) {
    pools_[pool].ledger.SetBacklog(sender, demand);
  }
}

std::uint32_t slot_coordinator::CountSuccesses(const router_report& report,
                                               const pool_id& pool) const {
  std::uint32_t successes = 0;
  for (const targets::lease_evidence& evidence : report.evidence) {
    const targets::announcement* target =
        directory_.FindIncarnation(evidence.target, evidence.life);
    if (target != nullptr && target->pools.front() == pool) {
      successes += evidence.successes;
    }
  }
  return successes;
}

void slot_coordinator::ApplyEvidence(const router_report& report,
                                     time_point now) {
  for (const targets::lease_evidence& evidence : report.evidence) {
    directory_.RecordSuccesses(evidence.target, evidence.life, evidence.epoch,
                               evidence.successes);
    for (std::uint32_t i = 0; i < evidence.failures; ++i) {
      directory_.RecordFailure(evidence.target, evidence.life, evidence.epoch,
                               now);
    }
    if (evidence.first_output_jumped) {
      directory_.RecordLatencyJump(evidence.target, evidence.life,
                                   evidence.epoch);
    }
  }
}

void slot_coordinator::AdoptRamp(const router_report& report) {
  for (const slot_holding& holding : report.holdings) {
    directory_.RaiseLimit(holding.target, holding.life, holding.ramp_limit);
  }
}

targets::announce_result slot_coordinator::OnAnnouncement(
    const targets::announcement& announcement,
    time_point now) {
  return directory_.Announce(announcement, now);
}

void slot_coordinator::SetServed(
    const std::vector<data_centre_id>& data_centres,
    time_point now) {
  std::erase_if(served_, [&](const auto& entry) {
    return std::find(data_centres.begin(), data_centres.end(), entry.first) ==
           data_centres.end();
  });
  for (const data_centre_id& data_centre : data_centres) {
    served_.emplace(data_centre, now);
  }
}

bool slot_coordinator::MayLease(const targets::announcement& target,
                                time_point now) const {
  const auto served = served_.find(target.data_centre);
  if (served == served_.end() || !directory_.IsUsable(target.target, now)) {
    return false;
  }
  return target.data_centre == self_.data_centre ||
         MayAdopt(target, served->second, now);
}

bool slot_coordinator::MayAdopt(const targets::announcement& target,
                                time_point served_since,
                                time_point now) const {
  // While the target itself was unreachable, it gave no evidence that its own
  // coordinator is gone, so the wait starts when it was reachable again.
  const time_point since =
      std::max(served_since, directory_.HeardSince(target.target));
  if (now - since < 2 * options_.lease + options_.lease_margin) {
    return false;
  }
  const bool adopted = leases_.Bound({target.target, target.life}) > 0;
  return adopted || !target.load || target.load->running == 0;
}

void slot_coordinator::SetDataCentreOut(const data_centre_id& data_centre,
                                        bool out,
                                        time_point now) {
  directory_.SetDataCentreOut(data_centre, out, now);
}

void slot_coordinator::RemoveRouter(const daemon_id& router) {
  leases_.RemoveRouter(router);
  routers_.erase(router);
  for (auto& [pool, state] : pools_) {
    state.ledger.RemoveRouter(router);
  }
}

void slot_coordinator::ExpireRouters(time_point now) {
  std::vector<daemon_id> expired;
  for (const auto& [router, state] : routers_) {
    // The last grant may have been sent up to one report period later.
    if (now - state.last_report >= 2 * options_.lease + options_.lease_margin) {
      expired.push_back(router);
    }
  }
  for (const daemon_id& router : expired) {
    RemoveRouter(router);
  }
}

std::vector<std::pair<daemon_id, grant_table>> slot_coordinator::TakeGrants() {
  std::vector<std::pair<daemon_id, grant_table>> grants;
  for (auto& [router, state] : routers_) {
    if (!std::exchange(state.dirty, false)) {
      continue;
    }
    state.grant_version = ++last_grant_version_;
    grants.emplace_back(router, MakeGrant(router, state));
  }
  return grants;
}

grant_table slot_coordinator::MakeGrant(const daemon_id& router,
                                        router_state& state) const {
  grant_table grant{.sender = self_,
                    .version = state.grant_version,
                    .answers = state.last_sequence};
  for (const auto& [data_centre, served_since] : served_) {
    grant.served.push_back(data_centre);
  }
  for (const target_key& key : leases_.TargetsOf(router)) {
    const targets::announcement* target =
        directory_.FindIncarnation(key.first, key.second);
    if (target == nullptr) {
      continue;
    }
    grant.leases.push_back({.target = *target,
                            .limit = leases_.Get(router, key).limit,
                            .ramp_limit = *directory_.RampLimit(key.first),
                            .epoch = directory_.RampEpoch(key.first)});
  }
  for (const auto& [pool, pool_state] : pools_) {
    pool_status status{.pool = pool,
                       .capacity = pool_state.capacity,
                       .scarce = pool_state.scarce};
    const auto demand = state.demand.find(pool);
    if (demand != state.demand.end()) {
      for (const customer_demand& customer : demand->second) {
        status.customers.push_back(
            {.customer = customer.customer,
             .virtual_service =
                 pool_state.ledger.VirtualService(customer.customer)});
      }
    }
    grant.pool_statuses.push_back(std::move(status));
  }
  return grant;
}

std::vector<slot_coordinator::customer_view> slot_coordinator::Customers()
    const {
  std::map<std::pair<pool_id, customer_id>, customer_view> views;
  for (const auto& [router, state] : routers_) {
    for (const auto& [pool, demand] : state.demand) {
      for (const customer_demand& customer : demand) {
        customer_view& view = views[{pool, customer.customer}];
        view.pool = pool;
        view.customer = customer.customer;
        view.share = customer.share;
        view.virtual_service =
            pools_.at(pool).ledger.VirtualService(customer.customer);
        view.waiting += customer.waiting;
        view.running += customer.running;
      }
    }
  }
  std::vector<customer_view> list;
  list.reserve(views.size());
  for (auto& [key, view] : views) {
    list.push_back(std::move(view));
  }
  return list;
}

}  // namespace burdocklock::allocation
