// See the header.
#include "admission/begin_estimate.h"

#include <algorithm>
#include <cmath>

namespace burdocklock::admission {

namespace {

// Requests begin at one of many routers a few times a second.
constexpr double kRateTimeConstantS = 1;
// A queue is noticed within the time that short calls can wait.
constexpr double kBusyTimeConstantS = 0.25;
constexpr double kStandingPart = 0.5;
// With fewer begins, chance makes a rate twice what it is, or half.
constexpr double kLeastWaitedS = 0.15;
constexpr double kLeastBegun = 4;
// Margin of the estimate: of 20 requests, 19 begin before.
constexpr double kDeviations = 2;

}  // namespace

void begin_estimate::SetWaiting(bool waiting, time_point now) {
  if (waiting != waiting_) {
    Update(now);
    waiting_ = waiting;
  }
}

bool begin_estimate::OnBegun(time_point now) {
  if (!waiting_) {
    return false;
  }
  Update(now);
  counts_.begun += 1;
  return true;
}

void begin_estimate::OnNotBegun(time_point now) {
  Update(now);
  counts_.begun = std::max(counts_.begun - 1, 0.0);
}

std::optional<duration> begin_estimate::Until(double ahead,
                                              time_point now) const {
  const auto rate = Rate(now);
  if (!rate) {
    return std::nullopt;
  }
  const double begins = ahead + 1;
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(
      (begins + kDeviations * std::sqrt(begins)) / *rate));
}

std::optional<double> begin_estimate::Rate(time_point now) const {
  const counts latest = At(now);
  if (latest.waited_s < kLeastWaitedS || latest.begun < kLeastBegun) {
    return std::nullopt;
  }
  return latest.begun / latest.waited_s;
}

bool begin_estimate::IsStanding(time_point now) const {
  return At(now).busy >= kStandingPart;
}

begin_estimate::counts begin_estimate::At(time_point now) const {
  const double elapsed = now > updated_at_ ? ToSeconds(now - updated_at_) : 0;
  const double kept = std::exp(-elapsed / kRateTimeConstantS);
  const double busy_kept = std::exp(-elapsed / kBusyTimeConstantS);
  counts latest{.begun = counts_.begun * kept,
                .waited_s = counts_.waited_s * kept,
                .busy = counts_.busy * busy_kept};
  if (waiting_) {
    latest.waited_s += kRateTimeConstantS * (1 - kept);
    latest.busy += 1 - busy_kept;
  }
  return latest;
}

void begin_estimate::Update(time_point now) {
  counts_ = At(now);
  updated_at_ = std::max(updated_at_, now);
}

}  // namespace burdocklock::admission
