// Options of the traffic threads.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "config/types/sheet.h"
#include "framework/types/endpoint.h"
#include "framework/types/time.h"

namespace burdocklock::gateway {

struct gateway_options {
  endpoint listen;
  /// Allows several services to listen on the same port.
  bool share_port = false;
  /// Of all threads together.
  std::uint32_t max_connections = 4096;
  /// Of the process, divided by its threads; 0 for what is not limited.
  std::size_t memory_bytes = 0;
  std::uint32_t descriptors = 0;
  /// Threads that share the port and the limits above.
  std::uint32_t threads = 1;
  /// Differs between daemons.
  std::uint64_t phase = 0;
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 4 * 1024 * 1024;
  std::uint32_t max_answer_bytes = 64 * 1024 * 1024;
  /// Of bodies and answers together that one thread keeps.
  std::size_t max_held_bytes = 128 * 1024 * 1024;
  duration caller_idle = std::chrono::seconds(60);
  duration caller_read = std::chrono::seconds(15);
  duration caller_write = std::chrono::seconds(30);
  /// Target connections that have been idle for longer are not reused.
  duration target_idle = std::chrono::seconds(15);
  std::vector<config::key_hash> target_tokens;
};

}  // namespace burdocklock::gateway
