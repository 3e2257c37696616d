// Divides the slots of a pool among customers, and among the routers that hold
// their requests.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::allocation {

struct customer_need {
  customer_id customer;
  double share = 1.0;
  double virtual_service = 0;
  /// Waiting and running requests by router.
  std::map<daemon_id, std::uint32_t> demand;
};

/// Assigns `capacity` slots one by one, each to the customer with the lowest
/// virtual service. Each assigned slot adds `quantum` (service units) divided
/// by the share to the customer's virtual service. No customer gets more slots
/// than its demand. Returns the slots for each router; their sum is
/// min(capacity, total demand).
///
/// With equal virtual service the result is weighted max-min fair; otherwise
/// customers with lower virtual service catch up first.
std::map<daemon_id, std::uint32_t> DivideSlots(
    std::uint32_t capacity,
    double quantum,
    const std::vector<customer_need>& needs);

}  // namespace burdocklock::allocation
