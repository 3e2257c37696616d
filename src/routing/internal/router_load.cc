// Part of request_router: load and service of customers, exchanged with the
// other routers, and the capacity that shares are taken from.
#include <algorithm>

#include "routing/request_router.h"

namespace burdocklock::routing {

namespace {

// Requests a second that a router may always ask for; less is not reported.
constexpr double kLeastDemand = 0.1;
// How often this router's own demand has its part of the targets derived anew.
constexpr std::chrono::milliseconds kDemandUse{5};

}  // namespace

std::vector<std::pair<pool_id, std::vector<fairness::customer_service>>>
request_router::CustomerSnapshot() const {
  std::vector<std::pair<pool_id, std::vector<fairness::customer_service>>>
      snapshot;
  snapshot.reserve(pools_.size());
  for (const auto& [pool, state] : pools_) {
    snapshot.emplace_back(pool, state.queue.Snapshot());
  }
  std::sort(snapshot.begin(), snapshot.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  return snapshot;
}

std::vector<request_router::customer_load> request_router::Load() const {
  std::map<std::pair<pool_id, customer_id>, customer_load> loads;
  for (const auto& [pool, state] : pools_) {
    for (const fairness::customer_service& entry : state.queue.Snapshot()) {
      loads[{pool, entry.customer}] = {
          .pool = pool,
          .customer = entry.customer,
          .share = entry.share,
          .waiting = static_cast<std::uint32_t>(entry.waiting),
          .service = entry.charged};
    }
  }
  for (const auto& [id, record] : records_) {
    if (record.grant) {
      ++loads[{record.spec.pool, record.spec.customer}]
            .running[record.grant->data_centre];
    }
  }
  std::vector<customer_load> list;
  list.reserve(loads.size());
  for (auto& [key, load] : loads) {
    list.push_back(std::move(load));
  }
  return list;
}

std::unordered_map<customer_id, double> request_router::WaitingWithinShare(
    const pool_id& pool,
    pool_state& state,
    time_point now) {
  std::unordered_map<customer_id, double> waiting;
  if (state.queue.size() == 0 || !directory_.HasUsable(pool, now)) {
    return waiting;
  }
  for (const auto& [id, record] : records_) {
    const request_spec& spec = record.spec;
    // What was charged when it was sent first is not asked for once more.
    const bool is_new = spec.prompt && !record.share_charged;
    if (spec.pool == pool && is_new && record.lifecycle.waiting() &&
        now - record.lifecycle.arrived() >= CachedTargetWait(spec) &&
        !state.shares.IsOverShare(spec.customer, now)) {
      waiting[spec.customer] += record.share_cost;
    }
  }
  return waiting;
}

std::vector<request_router::pool_load> request_router::ContendedPools(
    time_point now) {
  std::vector<pool_load> contended;
  for (auto& [pool, state] : pools_) {
    pool_load load{.pool = pool,
                   .flow = state.shares.flow(),
                   .waiting = state.queue.size(),
                   .own_fraction = state.shares.LocalFraction(now)};
    for (const auto& [customer, tokens] :
         WaitingWithinShare(pool, state, now)) {
      load.waiting_tokens += tokens;
    }
    if (state.shares.share() != admission::kNoLimit) {
      load.share = state.shares.share();
    }
    if (load.share || load.waiting_tokens > 0) {
      contended.push_back(std::move(load));
    }
  }
  return contended;
}

double request_router::OwnDemand(const pool_state& state, time_point now) {
  return state.arrivals.Rate(now) +
         static_cast<double>(state.queue.size()) / ToSeconds(kDemandTime);
}

void request_router::UseOwnDemand(const pool_id& pool,
                                  pool_state& state,
                                  time_point now) {
  if (now - state.demand_used_at >= kDemandUse) {
    UpdateDemandPart(pool, state, now);
  }
}

void request_router::UpdateDemandPart(const pool_id& pool,
                                      pool_state& state,
                                      time_point now) {
  state.demand_used_at = now;
  if (!state.demand_elsewhere) {
    return;
  }
  // The others leave free what they know this router to ask for. If queues get
  // shorter everywhere at once, that would otherwise be used by none.
  const double own =
      std::max({OwnDemand(state, now), state.demand_known, kLeastDemand});
  const double all = own + *state.demand_elsewhere;
  // What the others do not know of yet they do not leave free.
  const double known = std::min(1.0, state.demand_known / own);
  directory_.SetDemandPart(
      pool,
      {.own = own / all,
       .before = state.demand_before / all,
       .allowance = 1 + known * (state.allowance.value() - 1),
       .demand = all},
      now);
}

void request_router::SetDemandElsewhere(const admission::fleet_load& others,
                                        time_point now) {
  if (!others.pools) {
    // What was last heard stays in force.
    return;
  }
  for (auto& [pool, state] : pools_) {
    if (directory_.HasSmallTargets(pool)) {
      state.demand_elsewhere = 0;
      state.demand_before = 0;
    }
  }
  for (const admission::pool_demand& demand : *others.pools) {
    if (directory_.HasSmallTargets(demand.pool)) {
      pool_state& state = PoolOf(demand.pool);
      state.demand_elsewhere = demand.per_second;
      state.demand_before = demand.before;
      state.allowance.OnResults(demand.answered + state.answered.Rate(now),
                                demand.rejected + state.rejected.Rate(now),
                                now);
    }
  }
  for (auto& [pool, state] : pools_) {
    state.demand_known = state.demand_reported;
    UpdateDemandPart(pool, state, now);
  }
}

std::vector<request_router::shared_pool> request_router::SharedPools(
    time_point now) const {
  std::vector<shared_pool> shared;
  for (const auto& [pool, state] : pools_) {
    if (state.demand_elsewhere && directory_.HasSmallTargets(pool)) {
      shared.push_back({.pool = pool,
                        .demand = OwnDemand(state, now),
                        .demand_elsewhere = *state.demand_elsewhere,
                        .allowance = state.allowance.value(),
                        .waiting = state.queue.size()});
    }
  }
  return shared;
}

admission::fleet_load request_router::OwnLoad(time_point now) {
  admission::fleet_load load{.targets = directory_.LocalLoad(now),
                             .learned = directory_.TakeLearned(now)};
  for (auto& [pool, state] : pools_) {
    const auto waiting = WaitingWithinShare(pool, state, now);
    for (admission::customer_flow& flow : state.shares.LocalFlows(now)) {
      const auto found = waiting.find(flow.customer);
      flow.waiting = found == waiting.end() ? 0 : found->second;
      load.customers.push_back(std::move(flow));
    }
    const double demand = OwnDemand(state, now);
    state.demand_reported = demand;
    if (demand >= kLeastDemand && directory_.HasSmallTargets(pool)) {
      if (!load.pools) {
        load.pools.emplace();
      }
      load.pools->push_back({.pool = pool,
                             .per_second = demand,
                             .answered = state.answered.Rate(now),
                             .rejected = state.rejected.Rate(now)});
    }
  }
  return load;
}

void request_router::SetOthersLoad(const admission::fleet_load& others,
                                   time_point now,
                                   effects& out) {
  directory_.SetRemoteLoad(others.targets, now);
  directory_.SetLearned(others.learned, now);
  SetDemandElsewhere(others, now);
  for (auto& [pool, state] : pools_) {
    UpdateKnownCapacity(pool, state, now);
    double waiting = 0;
    for (const auto& [customer, tokens] :
         WaitingWithinShare(pool, state, now)) {
      waiting += tokens;
    }
    state.shares.SetWaiting(waiting);
    state.shares.SetRemoteFlows(others.customers, now);
    directory_.SetCompetition(
        pool, {.own_fraction = state.shares.LocalFraction(now),
               .waiting_elsewhere = state.shares.flow().waiting_elsewhere,
               .load_known = true});
  }
  DispatchAll(now, out);
}

void request_router::SetPoolThroughput(const pool_id& pool,
                                       double tokens_per_second) {
  pool_state& state = PoolOf(pool);
  if (state.throughput != tokens_per_second) {
    state.throughput = tokens_per_second;
    state.most_slots = 0;
    state.shares.SetKnownCapacity(tokens_per_second);
  }
}

void request_router::UpdateKnownCapacity(const pool_id& pool,
                                         pool_state& state,
                                         time_point now) {
  // Two versions side by side do not bear twice as much.
  directory_.SetSpareVersions(pool, AvoidedVersions(pool, now));
  const std::uint32_t slots = directory_.AnnouncedSlots(pool, now);
  state.most_slots = std::max(state.most_slots, slots);
  // Without any usable target, calls are refused for that reason, not for their
  // customers' shares.
  if (slots > 0) {
    state.shares.SetKnownCapacity(directory_.UsableThroughput(
        pool, state.throughput / state.most_slots, state.average_cost, now));
  }
}

void request_router::SetVirtualService(const pool_id& pool,
                                       const customer_id& customer,
                                       double value) {
  PoolOf(pool).queue.SetVirtualService(customer, value);
}

}  // namespace burdocklock::routing
