// Grant message: sent by the coordinator of a data centre to a router.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"
#include "membership/data_centre_orders.h"
#include "membership/types/member.h"
#include "targets/target_directory.h"

namespace burdocklock::allocation {

struct customer_status {
  customer_id customer;
  /// Service received through all routers divided by the share, raised when
  /// the customer becomes backlogged (see service_ledger).
  double virtual_service = 0;
};

struct pool_status {
  pool_id pool;
  /// Total slots of the data centre's usable targets.
  std::uint32_t capacity = 0;
  /// Demand exceeds capacity; routers should return idle slots.
  bool scarce = false;
  /// The customers that the router has reported.
  std::vector<customer_status> customers;
};

/// Complete set of a router's leases; a lease that is not listed has ended.
struct grant_table {
  membership::member sender;
  std::uint64_t version = 0;
  /// Sequence number of the last report that the coordinator has processed.
  std::uint64_t answers = 0;
  /// Data centres whose targets the sender coordinates.
  std::vector<data_centre_id> served;
  std::vector<targets::target_lease> leases;
  std::vector<pool_status> pool_statuses;
  std::vector<membership::data_centre_order> orders;
};

}  // namespace burdocklock::allocation
