// Choice of a target for a request, and what it depends on.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "targets/admission_ramp.h"

namespace burdocklock::targets {

/// Permission to run one request at a target; must be released exactly once.
struct slot_grant {
  target_id target;
  incarnation life;
  software_version version = {};
  endpoint address;
  ramp_epoch epoch;
  data_centre_id data_centre;
  /// Epoch of the lessor's ramp that results are reported for.
  ramp_epoch lease_epoch;
  /// Unique among the grants of a target.
  std::uint64_t number = 0;
  /// Prompt tokens that the target had to process before the first output,
  /// including those of earlier requests of any router.
  std::uint64_t tokens_ahead = 0;
  /// Requests of all routers at the target with this one.
  std::uint32_t in_flight = 0;
};

/// How a router shares the targets of a pool with the others.
struct pool_competition {
  /// This router's part of a target's backlog and slots, 0 to 1.
  double own_fraction = 1;
  /// Prompt tokens that wait at other routers for room that they are entitled
  /// to.
  double waiting_elsewhere = 0;
  /// The others' load was received and is recent.
  bool load_known = false;
};

/// This router's part of the demand on a pool without prompts, 0 to 1, and the
/// parts of the routers whose names come before its own.
struct demand_part {
  double own = 1;
  double before = 0;
  /// Requests that all routers together aim at, for each slot.
  double allowance = 1;
  /// Requests a second that are asked of all routers.
  double demand = 1;
};

/// Restricts the targets that a generation may be sent to.
struct placement_constraints {
  /// Only targets that probably have its shared parts cached, if these are
  /// large.
  bool preferred_only = false;
  /// Only targets with a small backlog of unread prompt tokens.
  bool spare_capacity_only = false;
  /// Only targets of this software version, for a stream that began there.
  std::optional<software_version> version = std::nullopt;
  /// Without `version`: no target of one of these.
  std::vector<software_version> avoided = {};
  /// Only this target, for requests that wait for room there.
  std::optional<target_id> only = std::nullopt;
};

struct choice {
  slot_grant grant;
  /// The targets that were compared, the selected one first.
  std::vector<target_id> considered;
  /// For a generation: the estimated prompt tokens that the target has to
  /// process, and those of other requests queued before it.
  std::uint32_t unread_tokens = 0;
  std::uint64_t tokens_before = 0;
  /// Another target from which the selected one can copy cached parts of the
  /// prompt instead of processing them, and how many tokens.
  std::optional<endpoint> copy_from;
  std::uint32_t copied_tokens = 0;
};

}  // namespace burdocklock::targets
