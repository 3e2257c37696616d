// Settings of a single daemon.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "config/types/sheet.h"
#include "framework/logging/i_logger.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"

namespace burdocklock::config {

enum class role { kRouter, kControl };

/// Protocol that callers and targets use with routers.
enum class caller_interface {
  /// OpenAI-compatible API, and the plain HTTP services in the sheet.
  kOpenai,
  /// Routes from the configuration stored by the control hosts.
  kRoutes,
  /// Routes, in the format of the operators' platform.
  kPlatform,
};

constexpr bool HasRoutes(caller_interface interface) {
  return interface != caller_interface::kOpenai;
}

struct log_settings {
  /// Empty for standard error, "stdout" for standard output.
  std::string path;
  log_level level = log_level::kInfo;
  friend bool operator==(const log_settings&, const log_settings&) = default;
};

struct limit_settings {
  std::uint32_t traffic_threads = 1;
  /// Serves callers on the control thread instead of on traffic threads, for
  /// hosts with less than one CPU core.
  bool share_control_thread = false;
  std::uint32_t max_connections = 4096;
  /// Of the whole process; 0 for none. With either, the daemon takes no more
  /// callers than its means allow.
  std::uint32_t memory_mb = 0;
  std::uint32_t descriptors = 0;
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 4 * 1024 * 1024;
  std::uint32_t max_answer_bytes = 64 * 1024 * 1024;
  /// Callers' bodies and targets' answers that are kept at the same time.
  std::uint32_t max_held_bytes = 128 * 1024 * 1024;
  /// Maximum queued requests per customer at this daemon.
  std::uint32_t max_queued_per_customer = 64;
  std::uint32_t max_queued_total = 4096;
  friend bool operator==(const limit_settings&,
                         const limit_settings&) = default;
};

struct timeout_settings {
  /// Idle keep-alive connections of callers are closed after this time.
  std::chrono::milliseconds caller_idle{60'000};
  /// Time limit for receiving a complete request.
  std::chrono::milliseconds caller_read{15'000};
  /// Time limit for writing each part of a response to the caller.
  std::chrono::milliseconds caller_write{30'000};
  /// Maximum time in the queue.
  std::chrono::milliseconds queue{30'000};
  std::chrono::milliseconds connect{1'000};
  std::chrono::milliseconds first_token{10'000};
  std::chrono::milliseconds between_tokens{5'000};
  /// Time limit for non-streamed responses of model engines.
  std::chrono::milliseconds whole_answer{120'000};
  /// Time limit for the first response byte of a plain service.
  std::chrono::milliseconds service_answer{30'000};
  /// Time limit from receipt of the request to the end of the response.
  std::chrono::milliseconds total{600'000};
  /// A target that has not announced itself for this time gets no new requests.
  std::chrono::milliseconds target_silence{6'000};
  /// Connections to targets that have been idle longer are closed, not reused.
  std::chrono::milliseconds target_idle{15'000};
  /// Time after SIGTERM during which the daemon reports that it is not ready
  /// but still accepts connections.
  std::chrono::milliseconds drain_notice{0};
  /// Streams that still run this long after SIGTERM are terminated.
  std::chrono::milliseconds drain_deadline{120'000};
  /// Time limit for the complete shutdown; 0 for none.
  std::chrono::milliseconds shutdown{0};
  friend bool operator==(const timeout_settings&,
                         const timeout_settings&) = default;
};

struct retry_settings {
  std::uint32_t max_attempts = 3;
  /// Retries allowed per recent request.
  double budget_ratio = 0.1;
  /// Retries per second that are always allowed in addition to the ratio.
  double budget_per_second = 2.0;
  /// Maximum accumulated retries per service, shared by all routers; 0 if each
  /// router has its own budget.
  double fleet_budget = 0;
  friend bool operator==(const retry_settings&,
                         const retry_settings&) = default;
};

/// Bounds on rollouts of software versions.
struct rollout_settings {
  /// Set if one of the bounds is given; without it there are no rollouts.
  bool enabled = false;
  /// Requests that may reach a bad version, relative to all of its service.
  double exposure_ratio = 0.05;
  /// Requests that may reach it beside those.
  double exposure_tolerance = 20;
  friend bool operator==(const rollout_settings&,
                         const rollout_settings&) = default;
};

/// How daemons find the control hosts that store the operators' state.
struct control_settings {
  /// Initial addresses of control hosts.
  std::vector<endpoint> hosts;
  /// Port to which links to `hosts` are opened; 0 to use their own ports.
  std::uint16_t link_port = 0;
  /// Set only for the first start of the whole fleet; `hosts` then become the
  /// initial voters.
  bool first_start = false;
  /// Number of control hosts that may lose their disks at the same time.
  std::uint32_t tolerated_disk_losses = 1;
  /// Data centres that may be taken out of service.
  std::vector<data_centre_id> data_centres;
  friend bool operator==(const control_settings&,
                         const control_settings&) = default;
};

struct settings {
  daemon_id daemon;
  data_centre_id data_centre;
  region_id region;
  std::vector<role> roles = {role::kRouter};
  endpoint callers{.port = 8080};
  endpoint operators{.port = 8081};
  /// If the port is 0 and there are no peers, no links to other daemons are
  /// maintained.
  endpoint peer_listener;
  /// Initial peer addresses.
  std::vector<endpoint> peers;
  caller_interface interface = caller_interface::kOpenai;
  /// Separate listener for readiness checks; port 0 to serve them only on the
  /// other listeners.
  endpoint readiness;
  /// On control hosts, the listener for operators and targets.
  endpoint commands;
  control_settings control;
  std::string data_folder;
  std::string sheet_path;
  /// Hashes of the tokens accepted from targets.
  std::vector<key_hash> target_tokens;
  std::vector<key_hash> operator_tokens;
  log_settings log;
  limit_settings limits;
  timeout_settings timeouts;
  retry_settings retries;
  rollout_settings rollouts;
  friend bool operator==(const settings&, const settings&) = default;
};

}  // namespace burdocklock::config
