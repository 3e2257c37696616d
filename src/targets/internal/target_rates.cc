// Part of target_directory: rate limits that targets name in their answers.
#include <algorithm>
#include <chrono>

#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// A limit that no router has heard of for this long no longer holds.
constexpr std::chrono::seconds kRateTimeout{30};
// A router tells the others of an answer for this long.
constexpr std::chrono::seconds kRateReportTime{10};

// Larger ages are capped, so that they cannot overflow.
constexpr std::uint64_t kMaxReportedAgeMs = 24ULL * 3600 * 1000;

}  // namespace

bool target_directory::ReportRateLimit(const slot_grant& grant,
                                       std::optional<double> per_second,
                                       time_point received) {
  entry* known = Find(grant.target, grant.life);
  if (known == nullptr || received < known->rate_limit.heard ||
      (!per_second && !known->rate_limit.was_named)) {
    return false;
  }
  const bool changed = known->rate_limit.per_second != per_second;
  known->rate_limit = {.per_second = per_second,
                       .heard = received,
                       .own = true,
                       .was_named = true};
  return changed;
}

void target_directory::AdoptRate(
    const std::optional<admission::named_rate>& reported,
    rate_state& known,
    time_point now) {
  if (!reported) {
    return;
  }
  const std::chrono::milliseconds age(
      std::min<std::uint64_t>(reported->age_ms, kMaxReportedAgeMs));
  const time_point heard = now - age;
  if (heard > known.heard) {
    known = {.per_second = reported->per_second,
             .heard = heard,
             .own = false,
             .was_named = true};
  }
}

std::optional<admission::named_rate> target_directory::NamedRate(
    const entry& entry,
    time_point now) {
  const rate_state& known = entry.rate_limit;
  if (!known.own || now - known.heard >= kRateReportTime) {
    return std::nullopt;
  }
  return admission::named_rate{
      .per_second = known.per_second,
      .age_ms = static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                                known.heard)
              .count())};
}

std::optional<double> target_directory::OwnRate(const entry& entry,
                                                time_point now) const {
  if (!entry.rate_limit.per_second ||
      now - entry.rate_limit.heard >= kRateTimeout) {
    return std::nullopt;
  }
  return *entry.rate_limit.per_second * rate_fraction_ *
         RateShare(entry.announced.target, options_.self, routers_);
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
  for (const entry* entry : found->second) {
    if (!IsUsable(*entry, now)) {
      continue;
    }
    const double throughput = per_slot * entry->announced.slots;
    const bool is_limited = entry->rate_limit.per_second.has_value() &&
                            request_cost > 0 &&
                            now - entry->rate_limit.heard < kRateTimeout;
    sum += is_limited ? std::min(throughput,
                                 *entry->rate_limit.per_second * request_cost)
                      : throughput;
  }
  return sum;
}

}  // namespace burdocklock::targets
