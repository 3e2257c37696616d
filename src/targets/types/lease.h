// Slots of targets that a coordinator leases to routers.
#pragma once

#include <cstdint>

#include "framework/types/ids.h"
#include "targets/admission_ramp.h"
#include "targets/types/announcement.h"

namespace burdocklock::targets {

/// Leased slots of one target.
struct target_lease {
  announcement target;
  std::uint32_t limit = 0;
  /// The lessor's ramp limit; lets a successor of the lessor resume from it.
  std::uint32_t ramp_limit = 0;
  ramp_epoch epoch;
};

/// Request results observed at a target during one epoch of the lessor's ramp.
struct lease_evidence {
  target_id target;
  incarnation life;
  ramp_epoch epoch;
  std::uint32_t successes = 0;
  std::uint32_t failures = 0;
  bool first_output_jumped = false;
};

}  // namespace burdocklock::targets
