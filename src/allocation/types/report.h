// Report message: sent by a router to the coordinator of a data centre.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"
#include "membership/data_centre_orders.h"
#include "membership/types/member.h"
#include "targets/target_directory.h"
#include "targets/types/announcement.h"

namespace burdocklock::allocation {

/// One customer's demand on a pool at one router.
struct customer_demand {
  customer_id customer;
  double share = 1.0;
  /// Queued requests for which the router asks for slots of this data centre.
  std::uint32_t waiting = 0;
  /// Requests running on targets of this data centre.
  std::uint32_t running = 0;
  /// Service received through this router since it started, in service units.
  double service = 0;
};

struct pool_demand {
  pool_id pool;
  std::vector<customer_demand> customers;
};

/// A router's slots at one target.
struct slot_holding {
  target_id target;
  incarnation life;
  /// The router uses no more slots than this unless a new grant raises it.
  std::uint32_t limit = 0;
  std::uint32_t in_use = 0;
  /// Ramp limit of the target in the last grant received.
  std::uint32_t ramp_limit = 0;
};

struct router_report {
  membership::member sender;
  /// Increases with each report of one incarnation to one coordinator.
  std::uint64_t sequence = 0;
  /// Version of the last grant reflected in `holdings`.
  std::uint64_t applied_grant = 0;
  /// The coordinator incarnation that issued that grant.
  incarnation applied_from;
  std::vector<pool_demand> demand;
  std::vector<slot_holding> holdings;
  std::vector<targets::lease_evidence> evidence;
  std::vector<targets::announcement> announcements;
  std::vector<membership::data_centre_order> orders;
  /// The router is shutting down and returns all its slots.
  bool leaving = false;
};

}  // namespace burdocklock::allocation
