// Moves the allowance with the fraction of arrivals that are rejected.
#include "targets/slot_allowance.h"

#include <algorithm>

namespace burdocklock::targets {

namespace {

constexpr double kLeast = 1;
constexpr double kMost = 1.75;
// Of all arrivals at targets this part may be rejected.
constexpr double kMostRejected = 0.01;
// Change a second while less than half of that is rejected, and while more is,
// for each time as much.
constexpr double kRise = 0.2;
constexpr double kFall = 0.05;
constexpr double kMostTimes = 5;
// One report changes it by no more than what so much time does.
constexpr std::chrono::seconds kLongestStep{1};

}  // namespace

void slot_allowance::OnResults(double answered,
                               double rejected,
                               time_point now) {
  const double step_s =
      ToSeconds(std::min<duration>(now - updated_at_, kLongestStep));
  updated_at_ = now;
  const double arrived = answered + rejected;
  if (arrived <= 0) {
    return;
  }
  const double times = rejected / arrived / kMostRejected;
  if (times > 1) {
    value_ -= kFall * std::min(times, kMostTimes) * step_s;
  } else if (times < 0.5) {
    value_ += kRise * step_s;
  }
  value_ = std::clamp(value_, kLeast, kMost);
}

}  // namespace burdocklock::targets
