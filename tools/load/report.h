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
