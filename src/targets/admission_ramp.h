// Adaptive concurrency limit of one target.
#pragma once

#include <cstdint>

#include "framework/types/strong_type.h"
#include "framework/types/time.h"

namespace burdocklock::targets {

struct ramp_options {
  /// A first output that takes longer than the smoothed latency times this
  /// factor is a latency jump.
  double jump_factor = 8.0;
  /// First outputs faster than this are never latency jumps.
  duration jump_floor = std::chrono::milliseconds(500);
  /// Pause after the second consecutive failure; doubled for each further one.
  duration pause = std::chrono::milliseconds(500);
  duration max_pause = std::chrono::seconds(8);
};

enum class ramp_phase { kCold, kWarming, kWarm };

constexpr const char* ToString(ramp_phase phase) {
  switch (phase) {
    case ramp_phase::kCold:
      return "cold";
    case ramp_phase::kWarming:
      return "warming";
    case ramp_phase::kWarm:
      return "warm";
  }
  return "cold";
}

/// Identifies the period between two reductions of the limit.
using ramp_epoch = strong_type<struct ramp_epoch_tag, std::uint64_t>;

/// The limit starts at `cold_slots` and doubles after as many successful
/// requests as the current limit. Results of requests admitted before the last
/// reduction are ignored. A failure, or a sign that the target has become cold,
/// reduces the limit.
///
/// Invariant: 1 <= limit() <= slots; limit() <= cold_slots right after start
/// and after each reduction.
class admission_ramp {
 public:
  admission_ramp(std::uint32_t slots,
                 std::uint32_t cold_slots,
                 ramp_options options = {});

  /// Applies new capacities announced by the target; keeps the collected
  /// results.
  void Resize(std::uint32_t slots, std::uint32_t cold_slots);
  /// Returns to the cold state, as for a new incarnation.
  void Reset();

  /// Records the latency of a first output. A jump above the smoothed latency
  /// indicates that the target has become cold. Returns true if the limit was
  /// reduced.
  bool OnFirstOutput(ramp_epoch admission_epoch, duration latency);
  /// Records a fully answered request. Returns true if the limit was raised.
  bool OnSuccess(ramp_epoch admission_epoch);
  /// Records several fully answered requests.
  void OnSuccesses(ramp_epoch admission_epoch, std::uint32_t count);
  /// Applies a latency jump detected by another router.
  void OnLatencyJump(ramp_epoch admission_epoch);
  /// Raises the limit on evidence collected elsewhere.
  void RaiseTo(std::uint32_t limit);
  /// Records a refusal, a timeout or a broken connection.
  void OnFailure(ramp_epoch admission_epoch, time_point now);

  [[nodiscard]] std::uint32_t limit() const { return limit_; }
  [[nodiscard]] ramp_epoch epoch() const { return epoch_; }
  [[nodiscard]] ramp_phase phase() const;
  /// No requests are admitted before this time.
  [[nodiscard]] time_point paused_until() const { return paused_until_; }

 private:
  void ReduceLimit(std::uint32_t new_limit);

  ramp_options options_;
  std::uint32_t slots_;
  std::uint32_t cold_slots_;
  std::uint32_t limit_;
  std::uint32_t successes_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  ramp_epoch epoch_{1};
  time_point paused_until_{};
  /// Smoothed latency of first outputs in seconds; zero until measured.
  double smoothed_first_output_s_ = 0;
};

}  // namespace burdocklock::targets
