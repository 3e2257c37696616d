// See the header.
#include "targets/admission_ramp.h"

#include <algorithm>

namespace burdocklock::targets {

namespace {

// Weight of the newest sample in the smoothed first-output latency.
constexpr double kSmoothing = 0.1;
// Failures in a row after which admission pauses.
constexpr std::uint32_t kPauseAfter = 2;
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
  Cut(cold_slots_);
  bad_in_row_ = 0;
  paused_until_ = {};
  usual_first_output_s_ = 0;
}

bool admission_ramp::OnFirstOutput(ramp_epoch admitted_in, duration latency) {
  if (admitted_in != epoch_) {
    return false;
  }
  const double seconds = ToSeconds(latency);
  const bool jumped = usual_first_output_s_ > 0 &&
                      latency > options_.jump_floor &&
                      seconds > options_.jump_factor * usual_first_output_s_;
  if (jumped && limit_ > cold_slots_) {
    Cut(cold_slots_);
    return true;
  }
  usual_first_output_s_ =
      usual_first_output_s_ == 0
          ? seconds
          : usual_first_output_s_ +
                kSmoothing * (seconds - usual_first_output_s_);
  return false;
}

bool admission_ramp::OnGood(ramp_epoch admitted_in) {
  if (admitted_in != epoch_) {
    return false;
  }
  bad_in_row_ = 0;
  paused_until_ = {};
  ++good_;
  if (good_ < limit_ || limit_ == slots_) {
    return false;
  }
  good_ = 0;
  limit_ = std::min(limit_ * 2, slots_);
  return true;
}

void admission_ramp::OnBad(ramp_epoch admitted_in, time_point now) {
  if (admitted_in != epoch_) {
    return;
  }
  ++bad_in_row_;
  Cut(std::max(1U, std::min(limit_ / 2, cold_slots_)));
  if (bad_in_row_ < kPauseAfter) {
    return;
  }
  const std::uint32_t doublings =
      std::min(bad_in_row_ - kPauseAfter, kMaxPauseDoublings);
  const duration pause = options_.pause * (1U << doublings);
  paused_until_ = now + std::min(pause, options_.max_pause);
}

void admission_ramp::OnGoodCount(ramp_epoch admitted_in, std::uint32_t count) {
  for (std::uint32_t i = 0; i < count; ++i) {
    OnGood(admitted_in);
  }
}

void admission_ramp::OnJump(ramp_epoch admitted_in) {
  if (admitted_in == epoch_ && limit_ > cold_slots_) {
    Cut(cold_slots_);
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

void admission_ramp::Cut(std::uint32_t new_limit) {
  limit_ = new_limit;
  good_ = 0;
  epoch_ = ramp_epoch(epoch_.value() + 1);
}

}  // namespace burdocklock::targets
