// Load that routers report to each other through a control host.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::admission {

/// A target's limit on requests from all routers together, as its answers name
/// it.
struct named_rate {
  /// Requests per second; absent if the latest answer names none.
  std::optional<double> per_second;
  /// Milliseconds since that answer.
  std::uint64_t age_ms = 0;

  friend bool operator==(const named_rate&, const named_rate&) = default;
};

/// Load of one target.
struct target_load {
  target_id target;
  std::uint32_t in_flight = 0;
  /// Prompt tokens that the target has yet to process.
  std::uint64_t unread_tokens = 0;
  /// What the target's answers say of its rate limit; absent if they never
  /// named one.
  std::optional<named_rate> rate_limit = std::nullopt;

  friend bool operator==(const target_load&, const target_load&) = default;
};

/// Token rates of one customer in one pool, in tokens per second. An output
/// token counts as two.
struct customer_flow {
  pool_id pool;
  customer_id customer;
  /// Rate of the requests that have arrived.
  double demand = 0;
  /// Rate of the requests that were sent to a target.
  double started = 0;
  /// Tokens of the requests that wait although the customer is within its share
  /// and have found no room at any target.
  double waiting = 0;

  friend bool operator==(const customer_flow&, const customer_flow&) = default;
};

/// What plain calls show of a target's speed.
struct learned_speed {
  target_id target;
  incarnation life;
  /// Mean latency at low load, in milliseconds.
  double base_ms = 0;
  /// Samples of the mean; not 0.
  std::uint32_t samples = 1;
  /// The most requests in flight that it takes well; 0 if it takes as many as
  /// it has slots.
  std::uint32_t limit = 0;

  friend bool operator==(const learned_speed&, const learned_speed&) = default;
};

/// Requests a second that are asked of one pool without prompts, whose targets
/// have fewer slots than there are routers.
struct pool_demand {
  pool_id pool;
  double per_second = 0;
  /// In a summary: of these, what is asked of the routers whose names come
  /// before that of the receiver.
  double before = 0;
  /// Requests that the targets answered, and rejected without running them, a
  /// second.
  double answered = 0;
  double rejected = 0;

  friend bool operator==(const pool_demand&, const pool_demand&) = default;
};

/// Load of one router, or the sum over several.
struct fleet_load {
  std::vector<target_load> targets;
  std::vector<customer_flow> customers;
  /// Targets of which there is news.
  std::vector<learned_speed> learned = {};
  /// Absent if it is not known, as from daemons that do not report it.
  std::optional<std::vector<pool_demand>> pools = std::nullopt;
  /// Calls that arrive a second, refused ones too, in units of one generation's
  /// processor time. Absent from routers whose means are not limited, and in a
  /// sum over any of them.
  std::optional<double> calls = std::nullopt;

  friend bool operator==(const fleet_load&, const fleet_load&) = default;
};

}  // namespace burdocklock::admission
