// Stores the latest load report of each router and sums the reports by target
// and by customer.
#include "control/load_collector.h"

#include <chrono>
#include <utility>

namespace burdocklock::control {

namespace {

// Reports older than this are ignored.
constexpr std::chrono::milliseconds kMaxReportAge{1500};

// Keeps the latest of several routers' answers.
void AddRate(const std::optional<admission::named_rate>& reported,
             duration report_age,
             std::optional<admission::named_rate>& latest) {
  if (!reported) {
    return;
  }
  const std::uint64_t age_ms =
      reported->age_ms +
      static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(report_age)
              .count());
  if (!latest || age_ms < latest->age_ms) {
    latest = {.per_second = reported->per_second, .age_ms = age_ms};
  }
}

}  // namespace

void load_collector::OnReport(const daemon_id& router,
                              admission::fleet_load load,
                              time_point now) {
  std::erase_if(routers_, [now](const auto& entry) {
    return now - entry.second.reported >= kMaxReportAge;
  });
  routers_[router] = {.load = std::move(load), .reported = now};
}

admission::fleet_load load_collector::LoadOfOthers(const daemon_id& router,
                                                   time_point now) const {
  std::map<target_id, admission::target_load> targets;
  std::map<std::pair<pool_id, customer_id>, admission::customer_flow> customers;
  for (const auto& [daemon, entry] : routers_) {
    if (daemon == router || now - entry.reported >= kMaxReportAge) {
      continue;
    }
    for (const admission::target_load& load : entry.load.targets) {
      admission::target_load& sum = targets[load.target];
      sum.target = load.target;
      sum.in_flight += load.in_flight;
      sum.unread_tokens += load.unread_tokens;
      AddRate(load.rate_limit, now - entry.reported, sum.rate_limit);
    }
    for (const admission::customer_flow& flow : entry.load.customers) {
      admission::customer_flow& sum = customers[{flow.pool, flow.customer}];
      sum.pool = flow.pool;
      sum.customer = flow.customer;
      sum.demand += flow.demand;
      sum.started += flow.started;
      sum.waiting += flow.waiting;
    }
  }
  admission::fleet_load others;
  for (const auto& [target, sum] : targets) {
    others.targets.push_back(sum);
  }
  for (const auto& [key, sum] : customers) {
    others.customers.push_back(sum);
  }
  return others;
}

}  // namespace burdocklock::control
