// How many requests a target may hold at once, given what it has shown so far.
#pragma once

#include <cstdint>

#include "framework/types/strong_type.h"
#include "framework/types/time.h"

namespace burdocklock::targets {

struct ramp_options {
  /// First output later than this many times the usual counts as a jump.
  double jump_factor = 8.0;
  /// First outputs sooner than this never count as a jump.
  duration jump_floor = std::chrono::milliseconds(500);
  /// Pause after the second failure in a row; doubled for each further one.
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

/// Identifies the period between two cuts of a ramp.
using ramp_epoch = strong_type<struct ramp_epoch_tag, std::uint64_t>;

/// Starts at `cold_slots` and doubles whenever as many requests as the limit
/// were answered well. Answers to requests admitted before the last cut are no
/// evidence. Any sign of a cold or failing target cuts the limit.
///
/// Invariant: 1 <= limit() <= slots; limit() <= cold_slots right after start
/// and after each cut.
class admission_ramp {
 public:
  admission_ramp(std::uint32_t slots,
                 std::uint32_t cold_slots,
                 ramp_options options = {});

  /// The target has said that it bears other numbers; keeps the evidence.
  void Resize(std::uint32_t slots, std::uint32_t cold_slots);
  /// Back to cold, as for a new incarnation.
  void Reset();

  /// First output after `latency`. A jump over the usual latency is a sign
  /// that the target has turned cold. Returns true if the limit was cut.
  bool OnFirstOutput(ramp_epoch admission_epoch, duration latency);
  /// A request was answered in full. Returns true if the limit rose.
  bool OnSuccess(ramp_epoch admission_epoch);
  /// Several requests were answered in full.
  void OnSuccesses(ramp_epoch admission_epoch, std::uint32_t count);
  /// Somebody else has found that the target turned cold.
  void OnLatencyJump(ramp_epoch admission_epoch);
  /// Somebody else has evidence for a larger limit.
  void RaiseTo(std::uint32_t limit);
  /// A refusal, timeout or broken connection.
  void OnFailure(ramp_epoch admission_epoch, time_point now);

  [[nodiscard]] std::uint32_t limit() const { return limit_; }
  [[nodiscard]] ramp_epoch epoch() const { return epoch_; }
  [[nodiscard]] ramp_phase phase() const;
  /// No admissions before this time.
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
  /// Smoothed latency of first outputs while warm; zero until known.
  double smoothed_first_output_s_ = 0;
};

}  // namespace burdocklock::targets
