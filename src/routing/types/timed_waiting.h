// What a router knows of the waiting requests of a pool that should begin by
// some time.
#pragma once

#include <map>
#include <set>
#include <utility>

#include "admission/begin_estimate.h"
#include "admission/named_patience.h"
#include "admission/return_line.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::routing {

/// Invariant: a waiting request with `begin_by` is either in `timely` or, from
/// then on, in `late`.
struct timed_waiting {
  using by_time = std::set<std::pair<time_point, request_seq>>;

  /// Requests that can still end within their objectives, and those that
  /// cannot, by the latest time to begin for it.
  by_time timely;
  by_time late;
  admission::begin_estimate estimate;
  admission::return_line returns;
  /// By latency objective, as routes of a pool may differ in both.
  std::map<duration, admission::named_patience> patience;
  /// Until then what cannot end in time is refused, as it would wait where
  /// others that can have to be refused.
  time_point short_until{};
  /// Exponential averages of how long calls run at targets, and of how far they
  /// are from it.
  duration service_time{};
  duration service_deviation{};
};

}  // namespace burdocklock::routing
