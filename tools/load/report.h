// Figures over what callers saw.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "load/types.h"
#include "stand_in/journal.h"

namespace burdocklock::load {

/// Value at `quantile` (0 to 1) of the samples, in milliseconds; zero if there
/// are none.
double Percentile(std::vector<duration> samples, double quantile);

const char* ToString(seen_outcome outcome);

/// Counts by outcome and percentiles, in all, for each customer and for each
/// host.
nlohmann::ordered_json Summarise(const std::vector<call_record>& records);

/// Largest difference over any interval between the weighted service (answer
/// tokens divided by share) of two customers, from `from` to `to` after the
/// begin of the run. All customers must be backlogged in that time.
struct service_gap {
  double largest = 0;
  std::string first;
  std::string second;
};
service_gap LargestGap(const std::vector<call_record>& records,
                       const std::map<std::string, double>& shares,
                       duration from,
                       duration to);

/// What targets say they ran, against what callers were told.
struct truth_check {
  /// Refusals that said "not run" for a request that a target had begun.
  std::uint32_t false_not_run = 0;
  /// Orders that ran more than once.
  std::uint32_t doubled_orders = 0;
  std::uint32_t wrong_answers = 0;
};
truth_check CheckTruth(const std::vector<call_record>& records,
                       const stand_in::journal_counts& journals);

}  // namespace burdocklock::load
