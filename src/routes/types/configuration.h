// The routing configuration that operators give: which calls go to which
// service, on what terms, and who may make them.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::routes {

/// Versions rise; the highest one is in force.
using configuration_version =
    strong_type<struct configuration_version_tag, std::uint64_t>;

/// What may be repeated, and how the answer arrives.
enum class route_kind {
  /// May run more than once.
  kIdempotent,
  /// May run at most once.
  kNonIdempotent,
  /// Answered by a stream of events; may run at most once unless the route is
  /// resumable.
  kStreaming,
};

struct weighted_service {
  pool_id service;
  std::uint32_t weight = 1;

  friend bool operator==(const weighted_service&,
                         const weighted_service&) = default;
};

/// Calls to one host name below one path prefix.
struct route {
  std::string name;
  /// Host name as callers send it, without a port.
  std::string host_name;
  /// Begins and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::kIdempotent;
  /// From arrival to the final answer.
  std::chrono::milliseconds timeout{0};
  /// Within this time the answer, or the first event of a stream, is on time.
  std::chrono::milliseconds latency_objective{0};
  /// Longest pause between events with which a stream is on time; zero if it
  /// is not a stream.
  std::chrono::milliseconds pause_objective{0};
  /// 0 is the most urgent.
  std::uint32_t rank = 0;
  /// Services that share the calls, by weight.
  std::vector<weighted_service> services;
  /// Targets on which one call may run.
  std::uint32_t max_attempts = 1;
  /// Callers need no key.
  bool anonymous = false;
  /// A broken stream may go on at another target.
  bool resumable = false;
  /// Calls carry the parts of their prompt, of which targets keep copies.
  bool has_prompt = false;

  friend bool operator==(const route&, const route&) = default;
};

/// How much a target of one service bears.
struct service_terms {
  pool_id service;
  std::string health_path;
  /// Connections that a target accepts from all callers together.
  std::uint32_t max_connections = 0;
  /// A target is cold for this time after it has started.
  std::chrono::milliseconds cold_time{0};
  /// Requests a second that a cold target bears; zero if it is never cold.
  double cold_rate = 0;
  /// Tokens that a target's memory holds; zero if it is not a model engine.
  std::uint64_t memory_tokens = 0;
  /// Targets copy parts of prompts from each other.
  bool copies_prompts = false;

  friend bool operator==(const service_terms&, const service_terms&) = default;
};

/// Bounds on what callers send.
struct caller_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 4 * 1024 * 1024;
  /// A caller must send a whole request in this time.
  std::chrono::milliseconds read_timeout{15'000};
  /// Callers may keep a connection idle for this time.
  std::chrono::milliseconds idle_timeout{60'000};

  friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

struct route_customer {
  customer_id customer;
  std::vector<std::string> api_keys;
  /// Takes precedence over a route's rank.
  std::uint32_t rank = 0;

  friend bool operator==(const route_customer&,
                         const route_customer&) = default;
};

/// Invariants hold after `Check` (configuration_checks.h) has passed.
struct configuration {
  configuration_version version;
  std::vector<route> routes;
  std::vector<service_terms> services;
  /// If empty, callers need no key.
  std::vector<route_customer> customers;
  caller_limits limits;
  /// Tokens a second that all model engines produce together, where a token
  /// generated counts as two; zero if not stated.
  double engine_throughput = 0;

  friend bool operator==(const configuration&, const configuration&) = default;
};

}  // namespace burdocklock::routes
