// See the header.
#include "admission/flow_meter.h"

#include <cmath>

namespace burdocklock::admission {

namespace {

// What came in this long ago counts for a third.
constexpr double kMemorySeconds = 2.0;

}  // namespace

void flow_meter::Add(double tokens, time_point now) {
  weighted_ = Rate(now) * kMemorySeconds + tokens;
  at_ = now;
}

double flow_meter::Rate(time_point now) const {
  const double age = now > at_ ? ToSeconds(now - at_) : 0;
  return weighted_ * std::exp(-age / kMemorySeconds) / kMemorySeconds;
}

}  // namespace burdocklock::admission
