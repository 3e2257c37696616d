// Identity, location and role of a daemon in the fleet.
#pragma once

#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::membership {

struct member {
  daemon_id daemon;
  incarnation life;
  data_centre_id data_centre;
  region_id region;
  /// Preferred as coordinator over daemons without this role.
  bool has_control_role = false;

  friend bool operator==(const member&, const member&) = default;
};

}  // namespace burdocklock::membership
