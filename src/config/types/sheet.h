// The sheet: the operators' configuration of customers, models, services and
// data centres, identical for all daemons.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::config {

/// SHA-256 of an API key or token.
using key_hash = std::array<std::uint8_t, 32>;

struct customer {
  customer_id id;
  /// Weight for sharing contended capacity between customers; positive.
  double share = 1.0;
  /// Holds more than one key during key rotation.
  std::vector<key_hash> api_keys;
  /// Pools (models and services) that the customer may use.
  std::vector<pool_id> models;
  std::vector<pool_id> services;
  region_id home_region;
  /// Maximum queued requests per daemon; the daemon's own limit applies if
  /// absent.
  std::optional<std::uint32_t> max_queued;

  friend bool operator==(const customer&, const customer&) = default;
};

struct model {
  pool_id id;
  friend bool operator==(const model&, const model&) = default;
};

/// Matches calls with one of `methods` under `path_prefix`.
struct call_rule {
  std::vector<std::string> methods;
  /// Path relative to the service, such as "/orders".
  std::string path_prefix;
  friend bool operator==(const call_rule&, const call_rule&) = default;
};

struct service {
  pool_id id;
  /// Calls that must not be retried, regardless of their method.
  std::vector<call_rule> non_repeatable;
  /// Calls that may be retried although their method is not idempotent.
  std::vector<call_rule> repeatable;
  friend bool operator==(const service&, const service&) = default;
};

/// Half-open interval [from, to).
struct outage_window {
  wall_time from;
  wall_time to;
  friend bool operator==(const outage_window&, const outage_window&) = default;
};

struct data_centre {
  data_centre_id id;
  region_id region;
  std::vector<outage_window> planned_outages;
  friend bool operator==(const data_centre&, const data_centre&) = default;
};

/// Invariants, validated by the parser: ids are unique, shares are positive,
/// and every model, service and region that a customer refers to exists.
struct sheet {
  std::vector<customer> customers;
  std::vector<model> models;
  std::vector<service> services;
  std::vector<data_centre> data_centres;
  friend bool operator==(const sheet&, const sheet&) = default;
};

/// Returns whether a call of `method` on `path` may run at most once.
/// `non_repeatable` rules take precedence over `repeatable` ones; without a
/// matching rule, the methods that HTTP defines as idempotent (RFC 9110, 9.2.2)
/// are repeatable.
bool IsNonRepeatable(const service& service,
                     std::string_view method,
                     std::string_view path);

}  // namespace burdocklock::config
