// Statistics of the results of a load run.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "load/types.h"
#include "stand_in/journal.h"

namespace burdocklock::load {

/// Returns the value at `quantile` (0 to 1) in milliseconds, or 0 if there are
/// no samples.
double Percentile(std::vector<duration> samples, double quantile);

const char* ToString(call_outcome outcome);

/// Returns outcome counts and latency percentiles in total, per customer and
/// per host.
nlohmann::ordered_json Summarise(const std::vector<call_record>& records);

/// Largest difference over any interval between the weighted service (response
/// tokens divided by share) of two customers, from `from` to `to` after the
/// start of the run. All customers must be backlogged during that time.
struct service_gap {
  double largest = 0;
  std::string first;
  std::string second;
};
service_gap LargestServiceGap(const std::vector<call_record>& records,
                              const std::map<std::string, double>& shares,
                              duration from,
                              duration to);

/// Comparison of the responses with the journals of the targets.
struct consistency_check {
  /// Refusals with "not_run" for a request that a target had started.
  std::uint32_t false_not_run = 0;
  /// Orders that were executed more than once.
  std::uint32_t doubled_orders = 0;
  std::uint32_t wrong_answers = 0;
};
consistency_check CheckAgainstJournals(
    const std::vector<call_record>& records,
    const stand_in::journal_counts& journals);

}  // namespace burdocklock::load
