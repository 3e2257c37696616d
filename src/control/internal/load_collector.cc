// Stores the latest load report of each router and sums the reports by target
// and by customer.
#include "control/load_collector.h"

#include <algorithm>
#include <chrono>
#include <unordered_map>
#include <utility>

namespace burdocklock::control {

namespace {

// Reports older than this are ignored.
constexpr std::chrono::milliseconds kMaxReportAge{1500};

// Keeps the latest of several routers' answers, and the latest of another one.
void AddRate(const std::optional<admission::named_rate>& reported,
             const daemon_id& router,
             duration report_age,
             target_total& total) {
  if (!reported) {
    return;
  }
  const admission::named_rate rate{
      .per_second = reported->per_second,
      .age_ms =
          reported->age_ms +
          static_cast<std::uint64_t>(
              std::chrono::duration_cast<std::chrono::milliseconds>(report_age)
                  .count())};
  std::optional<admission::named_rate>& latest = total.sum.rate_limit;
  if (!latest || rate.age_ms < latest->age_ms) {
    total.latest_of_others = std::exchange(latest, rate);
    total.latest_by = router;
  } else if (!total.latest_of_others ||
             rate.age_ms < total.latest_of_others->age_ms) {
    total.latest_of_others = rate;
  }
}

}  // namespace

void load_collector::OnReport(const daemon_id& router,
                              admission::fleet_load load,
                              time_point now) {
  std::erase_if(routers_, [now](const auto& entry) {
    return now - entry.second.reported >= kMaxReportAge;
  });
  for (const admission::learned_speed& speed : load.learned) {
    learned_.OnReport(speed, now);
  }
  load.learned.clear();
  const auto known = routers_.find(router);
  const time_point since = known == routers_.end() ? now : known->second.since;
  routers_[router] = {.load = std::move(load), .reported = now, .since = since};
}

load_totals load_collector::Totals(time_point now) const {
  load_totals totals{.now = now, .learned = learned_.News(now)};
  double calls = 0;
  bool all_report_calls = !routers_.empty();
  for (const auto& [daemon, entry] : routers_) {
    if (now - entry.reported >= kMaxReportAge) {
      continue;
    }
    for (const admission::target_load& load : entry.load.targets) {
      target_total& total = totals.targets[load.target];
      total.sum.target = load.target;
      total.sum.in_flight += load.in_flight;
      total.sum.unread_tokens += load.unread_tokens;
      AddRate(load.rate_limit, daemon, now - entry.reported, total);
    }
    for (const admission::customer_flow& flow : entry.load.customers) {
      admission::customer_flow& sum =
          totals.customers[{flow.pool, flow.customer}];
      sum.pool = flow.pool;
      sum.customer = flow.customer;
      sum.demand += flow.demand;
      sum.started += flow.started;
      sum.waiting += flow.waiting;
    }
    calls += entry.load.calls.value_or(0);
    all_report_calls = all_report_calls && entry.load.calls.has_value();
    if (entry.load.pools) {
      for (const admission::pool_demand& demand : *entry.load.pools) {
        pool_total& total = totals.pools[demand.pool];
        total.before.emplace(daemon, total.sum.per_second);
        total.sum.per_second += demand.per_second;
        total.sum.answered += demand.answered;
        total.sum.rejected += demand.rejected;
      }
    }
  }
  if (all_report_calls) {
    totals.calls = calls;
  }
  return totals;
}

admission::fleet_load load_collector::LoadOfOthers(
    const load_totals& totals,
    const daemon_id& router) const {
  std::unordered_map<target_id, const admission::target_load*> own_targets;
  std::map<std::pair<pool_id, customer_id>, const admission::customer_flow*>
      own_flows;
  const auto own = routers_.find(router);
  const bool has_own = own != routers_.end() &&
                       totals.now - own->second.reported < kMaxReportAge;
  if (has_own) {
    for (const admission::target_load& load : own->second.load.targets) {
      own_targets.emplace(load.target, &load);
    }
    for (const admission::customer_flow& flow : own->second.load.customers) {
      own_flows.emplace(std::pair(flow.pool, flow.customer), &flow);
    }
  }
  admission::fleet_load others;
  const bool is_new =
      own != routers_.end() && totals.now - own->second.since < kMaxReportAge;
  others.learned = is_new ? totals.learned.all : totals.learned.changed;
  for (const auto& [target, total] : totals.targets) {
    admission::target_load load = total.sum;
    if (total.latest_by == router) {
      load.rate_limit = total.latest_of_others;
    }
    const auto part = own_targets.find(target);
    if (part != own_targets.end()) {
      load.in_flight -= part->second->in_flight;
      load.unread_tokens -= part->second->unread_tokens;
    }
    if (load.in_flight > 0 || load.unread_tokens > 0 || load.rate_limit) {
      others.targets.push_back(std::move(load));
    }
  }
  for (const auto& [key, sum] : totals.customers) {
    admission::customer_flow flow = sum;
    const auto part = own_flows.find(key);
    if (part != own_flows.end()) {
      // Differences of sums, so rounding may make them negative.
      flow.demand = std::max(0.0, flow.demand - part->second->demand);
      flow.started = std::max(0.0, flow.started - part->second->started);
      flow.waiting = std::max(0.0, flow.waiting - part->second->waiting);
    }
    if (flow.demand > 0 || flow.started > 0 || flow.waiting > 0) {
      others.customers.push_back(std::move(flow));
    }
  }
  AddPools(totals, router, has_own ? &own->second.load : nullptr, others);
  if (totals.calls) {
    const double own_calls = has_own ? own->second.load.calls.value_or(0) : 0;
    others.calls = std::max(0.0, *totals.calls - own_calls);
  }
  return others;
}

void load_collector::AddPools(const load_totals& totals,
                              const daemon_id& router,
                              const admission::fleet_load* own,
                              admission::fleet_load& others) {
  if (totals.pools.empty()) {
    return;
  }
  std::map<pool_id, const admission::pool_demand*> own_parts;
  if (own != nullptr && own->pools) {
    for (const admission::pool_demand& demand : *own->pools) {
      own_parts.emplace(demand.pool, &demand);
    }
  }
  others.pools.emplace();
  const admission::pool_demand none;
  for (const auto& [pool, total] : totals.pools) {
    const auto part = own_parts.find(pool);
    const admission::pool_demand& mine =
        part == own_parts.end() ? none : *part->second;
    const auto next = total.before.lower_bound(router);
    const admission::pool_demand& all = total.sum;
    // Differences of sums, so rounding may make them negative.
    others.pools->push_back(
        {.pool = pool,
         .per_second = std::max(0.0, all.per_second - mine.per_second),
         .before = next == total.before.end() ? all.per_second : next->second,
         .answered = std::max(0.0, all.answered - mine.answered),
         .rejected = std::max(0.0, all.rejected - mine.rejected)});
  }
}

}  // namespace burdocklock::control
