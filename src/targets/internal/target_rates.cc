// Part of target_directory: rate limits that targets name in their answers.
#include <algorithm>

#include "targets/target_directory.h"

namespace burdocklock::targets {

bool target_directory::ReportRateLimit(const slot_grant& grant,
                                       std::optional<double> per_second,
                                       time_point received) {
  entry* known = Find(grant);
  return known != nullptr && known->rate_limit.OnAnswer(per_second, received);
}

double target_directory::UsableThroughput(const pool_id& pool,
                                          double per_slot,
                                          double request_cost,
                                          time_point now) const {
  double sum = 0;
  const auto found = by_pool_.find(pool);
  if (found == by_pool_.end()) {
    return sum;
  }
  for (const entry* entry : found->second.all()) {
    if (!IsCounted(pool, *entry, now)) {
      continue;
    }
    const double throughput = per_slot * entry->announced.slots;
    const auto limit = entry->rate_limit.PerSecond(now);
    sum += limit && request_cost > 0
               ? std::min(throughput, *limit * request_cost)
               : throughput;
  }
  return sum;
}

}  // namespace burdocklock::targets
