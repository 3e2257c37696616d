// What a router knows of the requests of one pool.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "admission/flow_meter.h"
#include "admission/share_limiter.h"
#include "fairness/fair_queue.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "routing/stream_pace.h"
#include "routing/types/timed_waiting.h"
#include "targets/slot_allowance.h"

namespace burdocklock::routing {

/// Time within which waiting requests without prompts are taken to be due, and
/// over which the answers to such requests are averaged.
inline constexpr std::chrono::milliseconds kDemandTime{500};
/// Over which arrivals of such requests are averaged: a router that gets none
/// any longer frees its part of the targets about as fast as it can report it.
inline constexpr std::chrono::milliseconds kArrivalTime{250};

struct pool_state {
  explicit pool_state(const pool_id& pool, duration age_limit)
      : queue(age_limit), shares(pool) {}

  fairness::fair_queue queue;
  /// Waiting requests that have an origin, by its version; no set is empty.
  std::map<software_version, std::set<request_seq>> waiting_streams;
  timed_waiting timed;
  admission::share_limiter shares;
  stream_pace pace;
  /// Requests without a prompt that arrived here.
  admission::flow_meter arrivals{kArrivalTime};
  /// Such requests a second that are asked of the other routers, as last heard.
  std::optional<double> demand_elsewhere;
  /// Of these, of routers whose names come before this one's.
  double demand_before = 0;
  /// This router's own, as last reported, and as the others probably know it.
  double demand_reported = 0;
  double demand_known = 0;
  /// When this router's part was last derived from these.
  time_point demand_used_at{};
  /// Such requests that small targets answered, and rejected.
  admission::flow_meter answered{kDemandTime};
  admission::flow_meter rejected{kDemandTime};
  targets::slot_allowance allowance;
  /// Known throughput with all targets, in tokens per second; 0 if unknown.
  double throughput = 0;
  /// The most slots that usable targets have announced with that throughput.
  std::uint32_t most_slots = 0;
  /// Exponential average of what requests cost, in tokens.
  double average_cost = 0;
  /// Exponential average of the queue wait, for Retry-After.
  double average_wait_s = 0;
  /// When requests began to wait with no usable target.
  std::optional<time_point> no_target_since;
  /// When those that wait without a usable target are refused; kNever if they
  /// wait for a target whose pause ends.
  time_point no_target_refusal_at = kNever;
  /// When dispatch of the waiting requests must be retried.
  time_point next_dispatch_at = kNever;
};

}  // namespace burdocklock::routing
