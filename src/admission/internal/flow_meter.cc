// Updates and reads the exponentially decaying token rate of a flow.
#include "admission/flow_meter.h"

#include <cmath>

namespace burdocklock::admission {

namespace {

// Time constant of the decay: tokens of this age count for about a third (1/e).
constexpr double kTimeConstantSeconds = 2.0;

}  // namespace

void flow_meter::Add(double tokens, time_point now) {
  decayed_tokens_ = Rate(now) * kTimeConstantSeconds + tokens;
  updated_at_ = now;
}

double flow_meter::Rate(time_point now) const {
  const double age = now > updated_at_ ? ToSeconds(now - updated_at_) : 0;
  return decayed_tokens_ * std::exp(-age / kTimeConstantSeconds) /
         kTimeConstantSeconds;
}

}  // namespace burdocklock::admission
