// Updates and reads the exponentially decaying token rate of a flow.
#include "admission/flow_meter.h"

#include <cmath>

namespace burdocklock::admission {

void flow_meter::Add(double tokens, time_point now) {
  decayed_tokens_ = Rate(now) * time_constant_s_ + tokens;
  updated_at_ = now;
}

double flow_meter::Rate(time_point now) const {
  const double age = now > updated_at_ ? ToSeconds(now - updated_at_) : 0;
  return decayed_tokens_ * std::exp(-age / time_constant_s_) / time_constant_s_;
}

}  // namespace burdocklock::admission
