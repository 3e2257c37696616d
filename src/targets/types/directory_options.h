// Options of the target directory, and what it makes of an announcement.
#pragma once

#include <chrono>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/admission_ramp.h"

namespace burdocklock::targets {

struct directory_options {
  data_centre_id local_data_centre;
  /// A target that has not announced itself for this long receives no new
  /// requests.
  duration silence = std::chrono::seconds(6);
  /// A target that has not announced itself for this long is removed.
  duration retention = std::chrono::minutes(10);
  /// Whether limits come from leases (`ApplyLeases`) instead of this
  /// directory's own ramps.
  bool leased = false;
  ramp_options ramp;
  /// Name of this router, used to compute its share of cold targets.
  daemon_id self;
};

enum class announce_result { kNew, kNewIncarnation, kUpdated, kStale };

constexpr const char* ToString(announce_result result) {
  switch (result) {
    case announce_result::kNew:
      return "new";
    case announce_result::kNewIncarnation:
      return "new_incarnation";
    case announce_result::kUpdated:
      return "updated";
    case announce_result::kStale:
      return "stale";
  }
  return "stale";
}

}  // namespace burdocklock::targets
