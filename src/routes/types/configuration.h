// The routing configuration set by operators: how calls are mapped to
// services, their timeouts and retry limits, and which customers are allowed.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::routes {

/// Versions increase monotonically; the highest one is active.
using configuration_version =
    strong_type<struct configuration_version_tag, std::uint64_t>;

/// Whether a call may be retried, and whether its response is streamed.
enum class route_kind {
  /// May run more than once.
  kIdempotent,
  /// May run at most once.
  kNonIdempotent,
  /// The response is an event stream; runs at most once unless the route is
  /// resumable.
  kStreaming,
};

struct weighted_service {
  pool_id service;
  std::uint32_t weight = 1;

  friend bool operator==(const weighted_service&,
                         const weighted_service&) = default;
};

/// Handles calls to one host name under one path prefix.
struct route {
  std::string name;
  /// Value of the Host header field without the port.
  std::string host_name;
  /// Begins and ends with a slash.
  std::string path_prefix;
  route_kind kind = route_kind::kIdempotent;
  /// Time limit from receipt of the request to the end of the response.
  std::chrono::milliseconds timeout{0};
  /// Latency objective for the response, or for the first event of a stream.
  std::chrono::milliseconds latency_objective{0};
  /// Maximum gap between events for a stream to meet its objective; zero if
  /// the response is not streamed.
  std::chrono::milliseconds pause_objective{0};
  /// Priority; 0 is the highest.
  std::uint32_t rank = 0;
  /// Services among which calls are distributed by weight.
  std::vector<weighted_service> services;
  /// Maximum number of targets on which one call may be run.
  std::uint32_t max_attempts = 1;
  /// Callers need no API key.
  bool anonymous = false;
  /// An interrupted stream may be resumed on another target.
  bool resumable = false;
  /// Calls list the parts of their prompt, which targets cache.
  bool has_prompt = false;

  friend bool operator==(const route&, const route&) = default;
};

/// Capacity and health check parameters of one service's targets.
struct service_terms {
  pool_id service;
  std::string health_path;
  /// Maximum connections per target, summed over all callers.
  std::uint32_t max_connections = 0;
  /// A target counts as cold for this time after its start.
  std::chrono::milliseconds cold_time{0};
  /// Maximum requests per second of a cold target; zero if targets are never
  /// cold.
  double cold_rate = 0;
  /// Token capacity of a target's memory; zero if it is not a model engine.
  std::uint64_t memory_tokens = 0;
  /// Targets can copy cached prompt parts from each other.
  bool copies_prompts = false;

  friend bool operator==(const service_terms&, const service_terms&) = default;
};

/// Size limits and timeouts for requests from callers.
struct caller_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 4 * 1024 * 1024;
  /// Time limit for receiving a complete request.
  std::chrono::milliseconds read_timeout{15'000};
  /// Idle keep-alive connections are closed after this time.
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

/// Calls need the API key of a customer, except those to anonymous routes.
/// Without any customer or key, all other calls are refused.
struct keyed_access {
  std::vector<route_customer> customers;

  friend bool operator==(const keyed_access&, const keyed_access&) = default;
};

/// No call needs an API key, and none has a customer.
struct open_access {
  friend bool operator==(const open_access&, const open_access&) = default;
};

/// Who may call. Open only where a document says so: keyed by default.
using caller_access = std::variant<keyed_access, open_access>;

/// Valid only if it has passed `Check` (configuration_checks.h).
struct configuration {
  configuration_version version;
  std::vector<route> routes;
  std::vector<service_terms> services;
  caller_access access;
  caller_limits limits;
  /// Total throughput of all model engines in tokens per second, with each
  /// generated token counted twice; zero if not specified.
  double engine_throughput = 0;

  friend bool operator==(const configuration&, const configuration&) = default;
};

}  // namespace burdocklock::routes
