// What the coordinator of a data centre tells a router.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"
#include "membership/data_centre_orders.h"
#include "membership/types/member.h"
#include "targets/target_directory.h"

namespace burdocklock::allocation {

struct customer_standing {
  customer_id customer;
  /// Service over all routers divided by share, with lifts.
  double virtual_service = 0;
};

struct pool_standing {
  pool_id pool;
  /// Slots of the data centre's usable targets.
  std::uint32_t capacity = 0;
  /// More requests want slots than there are: idle ones are to be returned.
  bool scarce = false;
  /// Customers that the router has reported.
  std::vector<customer_standing> customers;
};

/// The whole of what a router holds; leases that are missing have ended.
struct grant_table {
  membership::member sender;
  std::uint64_t version = 0;
  /// Sequence number of the last report taken into account.
  std::uint64_t answers = 0;
  /// Data centres whose targets the sender coordinates.
  std::vector<data_centre_id> served;
  std::vector<targets::target_lease> leases;
  std::vector<pool_standing> standings;
  std::vector<membership::data_centre_order> orders;
};

}  // namespace burdocklock::allocation
