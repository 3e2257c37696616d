// Port: what a router learns from the control hosts.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "control/types/message.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/types/announcement.h"

namespace burdocklock::control {

class i_router_view {
 public:
  virtual ~i_router_view() = default;

  /// The operators' state has changed; `current` if the control host that told
  /// it was certain of it.
  virtual void OnState(state_revision revision,
                       const state_contents& contents,
                       bool current) = 0;
  virtual void OnTarget(const targets::announcement& announcement,
                        time_point last_seen) = 0;
  /// The routers that share the targets.
  virtual void OnRouters(const std::vector<daemon_id>& routers) = 0;
  /// The load of all other routers, as of their last reports.
  virtual void OnOthersLoad(const admission::fleet_load& others) = 0;
  /// The first control host was heard, or the last one was lost.
  virtual void OnContact(bool in_contact) = 0;
};

}  // namespace burdocklock::control
