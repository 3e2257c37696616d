// What a router has to serve callers with, and what is in use of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "framework/types/time.h"

namespace burdocklock::admission {

/// Limits of the router's process; 0 for what is not limited.
struct router_means {
  std::size_t memory_bytes = 0;
  std::uint32_t descriptors = 0;
  /// Connections of callers, whatever the other limits allow.
  std::uint32_t max_connections = 0;

  [[nodiscard]] bool limited() const {
    return memory_bytes > 0 || descriptors > 0;
  }
};

struct router_use {
  /// Open connections of callers.
  std::uint32_t connections = 0;
  /// Calls that have been accepted before the one in question and were not read
  /// yet.
  std::uint32_t unread_calls = 0;
  /// For how long the event loop has been busy since it last waited.
  duration turn{};
  /// Bodies and answers that are counted by their size.
  std::size_t held_bytes = 0;
  /// Of the process, as measured; 0 if unknown.
  std::size_t memory_bytes = 0;
  /// Demand of its callers relative to the mean of all routers; absent if that
  /// is not known.
  std::optional<double> demand_over_mean;
};

}  // namespace burdocklock::admission
