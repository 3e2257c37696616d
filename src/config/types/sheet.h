// The sheet: what operators decide about customers, models, services and data
// centres. The same for all daemons.
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
  /// Weight in the division of contended capacity; positive.
  double share = 1.0;
  /// More than one while keys are being changed.
  std::vector<key_hash> api_keys;
  /// Pools (models and services) that the customer may use.
  std::vector<pool_id> models;
  std::vector<pool_id> services;
  region_id home_region;
  /// Requests that may wait at one daemon; the daemon's limit if absent.
  std::optional<std::uint32_t> max_queued;

  friend bool operator==(const customer&, const customer&) = default;
};

struct model {
  pool_id id;
  friend bool operator==(const model&, const model&) = default;
};

/// Calls: any of `methods` on `path_prefix`.
struct call_rule {
  std::vector<std::string> methods;
  /// Path below the service, such as "/orders".
  std::string path_prefix;
  friend bool operator==(const call_rule&, const call_rule&) = default;
};

struct service {
  pool_id id;
  /// Calls that must not be repeated, whatever their method.
  std::vector<call_rule> non_repeatable;
  /// Calls that may be repeated although their method is not idempotent.
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

/// Invariants, checked when it is read: ids are unique, shares are positive,
/// and every model, service and region named by a customer exists.
struct sheet {
  std::vector<customer> customers;
  std::vector<model> models;
  std::vector<service> services;
  std::vector<data_centre> data_centres;
  friend bool operator==(const sheet&, const sheet&) = default;
};

/// True if `method` on `path` may run at most once. A matching
/// `non_repeatable` rule decides first, then a `repeatable` one; otherwise the
/// methods that HTTP defines as idempotent (RFC 9110, 9.2.2) are repeatable.
bool IsNonRepeatable(const service& service,
                     std::string_view method,
                     std::string_view path);

}  // namespace burdocklock::config
