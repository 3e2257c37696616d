// Limits the requests that one event loop takes to what its processor can
// serve. Answers the load pattern of many callers at one router while others
// are idle.
#pragma once

#include <chrono>

#include "admission/share_limiter.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::admission {

/// Measures how busy the event loop is. While it has no time left, the rate of
/// admitted work is lowered, else raised again; each customer has its max-min
/// share of that rate.
///
/// Used on the event loop's thread.
class processor_guard {
 public:
  processor_guard() { shares_.SetKnownCapacity(kNoLimit); }

  /// Records that the event loop was busy for `busy` before it waited again.
  void OnTurn(duration busy, time_point now);
  /// Records that a caller had waited for `wait` before the loop took it.
  void OnCallerWait(duration wait);
  /// Returns whether a request may be processed. `cost` is in units of one
  /// generation.
  bool Admit(const customer_id& customer, double cost, time_point now);
  /// Records that an admitted request of that cost has ended, however it did.
  void OnEnded(double cost);
  /// Returns whether so much is refused that new callers are better off at
  /// other routers.
  [[nodiscard]] bool IsHeavilyOverloaded() const { return heavily_overloaded_; }
  /// Cost per second that is admitted; kNoLimit while there is time left.
  [[nodiscard]] double limit() const { return limit_; }
  /// Cost of the requests that were admitted and have not ended.
  [[nodiscard]] double in_progress() const { return in_progress_cost_; }

 private:
  void EndWindow(time_point now);
  void UpdateLimit(double utilisation, double admitted_rate);
  /// The rate at which work was admitted in the window or, if higher, over the
  /// last second: callers whose answers end together return together.
  double AdmittedRate(double window_seconds);
  /// The mean turn that a caller meets: the longer ones are met more often.
  [[nodiscard]] double MetTurnSeconds() const;
  void UpdateOverload(time_point now);

  share_limiter shares_{pool_id("processor"),
                        {.basis = capacity_basis::kKnown,
                         .averaging = std::chrono::milliseconds(500)}};
  double limit_ = kNoLimit;
  double in_progress_cost_ = 0;
  int busy_windows_ = 0;
  /// Sums over windows in which earlier ones count less.
  double past_cost_ = 0;
  double past_seconds_ = 0;
  // Of the current window.
  time_point window_started_{};
  duration busy_{};
  duration longest_turn_{};
  /// Sum of the squared turns, in seconds squared.
  double squared_turns_ = 0;
  duration longest_wait_{};
  double admitted_cost_ = 0;
  double refused_cost_ = 0;
  /// Start of the current series of windows that refuse much, or little.
  time_point series_started_{};
  bool series_refuses_much_ = false;
  bool heavily_overloaded_ = false;
};

}  // namespace burdocklock::admission
