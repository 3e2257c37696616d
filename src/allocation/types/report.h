// What a router tells the coordinator of a data centre.
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
  /// Requests for which the router wants slots of this data centre.
  std::uint32_t waiting = 0;
  /// Requests that run on targets of this data centre.
  std::uint32_t running = 0;
  /// Service received through this router since it started, in service units.
  double service = 0;
};

struct pool_demand {
  pool_id pool;
  std::vector<customer_demand> customers;
};

/// Slots of one target as the router sees them.
struct slot_holding {
  target_id target;
  incarnation life;
  /// The router will not exceed this number by itself.
  std::uint32_t limit = 0;
  std::uint32_t in_use = 0;
  /// The coordinator's ramp limit that the router was last told.
  std::uint32_t ramp_limit = 0;
};

struct router_report {
  membership::member sender;
  /// Counts the reports of one incarnation to one coordinator.
  std::uint64_t sequence = 0;
  /// Version of the grant that `holdings` take into account.
  std::uint64_t applied_grant = 0;
  /// The coordinator incarnation that issued that grant.
  incarnation applied_from;
  std::vector<pool_demand> demand;
  std::vector<slot_holding> holdings;
  std::vector<targets::lease_evidence> evidence;
  std::vector<targets::announcement> announcements;
  std::vector<membership::data_centre_order> orders;
  /// The router leaves and gives its slots back.
  bool leaving = false;
};

}  // namespace burdocklock::allocation
