// Predicts how long streams take, from those that were completed.
#pragma once

#include <cstdint>
#include <optional>

#include "framework/types/time.h"

namespace burdocklock::routing {

/// Mean and deviation of recent values, each of which has a weight.
///
/// Invariant: an earlier value weighs less than a later one of equal weight.
class recent_moments {
 public:
  void Add(double value, double weight);
  [[nodiscard]] bool empty() const { return weight_ == 0; }
  /// The mean and `deviations` standard deviations. Precondition: `!empty()`.
  [[nodiscard]] double Above(double deviations) const;

 private:
  double weight_ = 0;
  double sum_ = 0;
  double squares_ = 0;
};

/// The streams of one pool. Load pattern: output comes at a pace that all
/// streams of a target share and that changes slowly; streams differ in length
/// by the tokens that are expected of them, an estimate.
class stream_pace {
 public:
  /// A stream of which `tokens` were expected began `first_output` after its
  /// dispatch and ended `output` after that.
  void OnCompleted(std::uint32_t tokens,
                   duration first_output,
                   duration output);
  /// From dispatch to end, with a margin of so many standard deviations.
  /// nullopt before any stream was completed.
  [[nodiscard]] std::optional<duration> LikelyLongest(std::uint32_t tokens,
                                                      double deviations) const;

 private:
  /// Seconds.
  recent_moments first_output_;
  /// Seconds per token, weighted by tokens.
  recent_moments pace_;
};

}  // namespace burdocklock::routing
