// Port: receives what control hosts send to a router.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/types/message.h"
#include "crashes/types/evidence.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "streams/types/stream_origin.h"
#include "targets/types/announcement.h"

namespace burdocklock::control {

class i_router_view {
 public:
  virtual ~i_router_view() = default;

  /// The operator state has changed; `current` if the sending control host
  /// confirmed that it is the newest.
  virtual void OnState(state_revision revision,
                       const state_contents& contents,
                       bool current) = 0;
  virtual void OnTarget(const targets::announcement& announcement,
                        time_point last_seen) = 0;
  /// The set of routers that share the targets has changed.
  virtual void OnRouters(const std::vector<daemon_id>& routers) = 0;
  /// Summed load of all other routers, from their last reports.
  virtual void OnOthersLoad(const admission::fleet_load& others) = 0;
  /// The leader's parts of rollouts in progress.
  virtual void OnRolloutParts(
      const std::vector<rollouts::rollout_part>& parts) = 0;
  /// Evidence about prompt parts that end targets has arrived.
  virtual void OnEvidence(const crashes::evidence& received) = 0;
  /// All such evidence that this router has, for a new link.
  [[nodiscard]] virtual crashes::evidence KnownEvidence() const = 0;
  /// The answer to one or several calls of `AskStreamOrigin` for this key;
  /// nullopt if it is not known where the stream began. Called exactly once for
  /// them, never before `AskStreamOrigin` has returned.
  virtual void OnStreamOrigin(
      stream_key key,
      const std::optional<streams::stream_origin>& origin) = 0;
  /// A stream of this router was recorded with two origins, a fault.
  virtual void OnStreamContradiction(
      const streams::stream_record& contradicting) = 0;
  /// Contact with the control hosts was gained or lost.
  virtual void OnContactChanged(bool in_contact) = 0;
};

}  // namespace burdocklock::control
