// Divides the slots of a pool among customers, and among the routers at which
// they wait.
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
  /// Requests that wait or run, by router.
  std::map<daemon_id, std::uint32_t> demand;
};

/// Gives `capacity` slots out one by one, each to the customer with the least
/// virtual service, counting `quantum` (service units) divided by the share
/// for each slot that it has been given. No customer gets more slots than its
/// demand. Returns the slots for each router; their sum is
/// min(capacity, total demand).
///
/// With equal virtual service this is weighted max-min fairness; a difference
/// in virtual service is made up for first.
std::map<daemon_id, std::uint32_t> DivideSlots(
    std::uint32_t capacity,
    double quantum,
    const std::vector<customer_need>& needs);

}  // namespace burdocklock::allocation
