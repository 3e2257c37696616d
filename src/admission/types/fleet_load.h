// What routers tell one another, through a control host, about their load.
#pragma once

#include <cstdint>
#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::admission {

/// Work at one target.
struct target_load {
  target_id target;
  std::uint32_t in_flight = 0;
  /// Prompt tokens that it has yet to read.
  std::uint64_t unread_tokens = 0;

  friend bool operator==(const target_load&, const target_load&) = default;
};

/// Tokens a second of one customer in one pool; output tokens count as two.
struct customer_flow {
  pool_id pool;
  customer_id customer;
  /// Of requests that have arrived.
  double asked = 0;
  /// Of requests that have been sent to a target.
  double begun = 0;

  friend bool operator==(const customer_flow&, const customer_flow&) = default;
};

/// The load of one router, or the sum over several.
struct fleet_load {
  std::vector<target_load> targets;
  std::vector<customer_flow> customers;

  friend bool operator==(const fleet_load&, const fleet_load&) = default;
};

}  // namespace burdocklock::admission
