// Interface for latency measurements of the request path.
#pragma once

#include "framework/types/time.h"

namespace burdocklock::routing {

class i_routing_observer {
 public:
  virtual ~i_routing_observer() = default;

  virtual void OnQueueWait(duration wait, time_point now) = 0;
  /// `latency` is measured from dispatch to the first part of the response.
  virtual void OnFirstOutput(duration latency, time_point now) = 0;
};

}  // namespace burdocklock::routing
