// Raises a target's concurrency limit after successes and reduces it after
// failures and latency jumps. Repeated failures also pause admission.
#include "targets/admission_ramp.h"

#include <algorithm>

namespace burdocklock::targets {

namespace {

// Weight of the latest sample in the smoothed first-output latency.
constexpr double kLatencySmoothing = 0.1;
// Number of consecutive failures after which admission pauses.
constexpr std::uint32_t kFailuresBeforePause = 2;
constexpr std::uint32_t kMaxPauseDoublings = 10;

}  // namespace

admission_ramp::admission_ramp(std::uint32_t slots,
                               std::uint32_t cold_slots,
                               ramp_options options)
    : options_(options),
      slots_(slots),
      cold_slots_(cold_slots),
      limit_(cold_slots) {}

void admission_ramp::Resize(std::uint32_t slots, std::uint32_t cold_slots) {
  slots_ = slots;
  cold_slots_ = cold_slots;
  limit_ = std::min(limit_, slots_);
}

void admission_ramp::Reset() {
  ReduceLimit(cold_slots_);
  consecutive_failures_ = 0;
  paused_until_ = {};
  smoothed_first_output_s_ = 0;
}

bool admission_ramp::OnFirstOutput(ramp_epoch admission_epoch,
                                   duration latency) {
  if (admission_epoch != epoch_) {
    return false;
  }
  const double seconds = ToSeconds(latency);
  const bool jumped = smoothed_first_output_s_ > 0 &&
                      latency > options_.jump_floor &&
                      seconds > options_.jump_factor * smoothed_first_output_s_;
  if (jumped && limit_ > cold_slots_) {
    ReduceLimit(cold_slots_);
    return true;
  }
  smoothed_first_output_s_ =
      smoothed_first_output_s_ == 0
          ? seconds
          : smoothed_first_output_s_ +
                kLatencySmoothing * (seconds - smoothed_first_output_s_);
  return false;
}

bool admission_ramp::OnSuccess(ramp_epoch admission_epoch) {
  if (admission_epoch != epoch_) {
    return false;
  }
  consecutive_failures_ = 0;
  paused_until_ = {};
  ++successes_;
  if (successes_ < limit_ || limit_ == slots_) {
    return false;
  }
  successes_ = 0;
  limit_ = std::min(limit_ * 2, slots_);
  return true;
}

void admission_ramp::OnFailure(ramp_epoch admission_epoch, time_point now) {
  if (admission_epoch != epoch_) {
    return;
  }
  ++consecutive_failures_;
  ReduceLimit(std::max(1U, std::min(limit_ / 2, cold_slots_)));
  if (consecutive_failures_ < kFailuresBeforePause) {
    return;
  }
  const std::uint32_t doublings = std::min(
      consecutive_failures_ - kFailuresBeforePause, kMaxPauseDoublings);
  const duration pause = options_.pause * (1U << doublings);
  paused_until_ = now + std::min(pause, options_.max_pause);
}

void admission_ramp::OnSuccesses(ramp_epoch admission_epoch,
                                 std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i) {
    OnSuccess(admission_epoch);
  }
}

void admission_ramp::OnLatencyJump(ramp_epoch admission_epoch) {
  if (admission_epoch == epoch_ && limit_ > cold_slots_) {
    ReduceLimit(cold_slots_);
  }
}

void admission_ramp::RaiseTo(std::uint32_t limit) {
  limit_ = std::max(limit_, std::min(limit, slots_));
}

ramp_phase admission_ramp::phase() const {
  if (limit_ == slots_) {
    return ramp_phase::kWarm;
  }
  return limit_ <= cold_slots_ ? ramp_phase::kCold : ramp_phase::kWarming;
}

void admission_ramp::ReduceLimit(std::uint32_t new_limit) {
  limit_ = new_limit;
  successes_ = 0;
  epoch_ = ramp_epoch(epoch_.value() + 1);
}

}  // namespace burdocklock::targets
