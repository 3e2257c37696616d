// The settings of one daemon.
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

/// How callers and targets speak to routers.
enum class caller_interface {
  /// OpenAI-style calls and plain services of the sheet.
  kOpenai,
  /// Routes of the configuration that the control hosts keep.
  kRoutes,
  /// Routes, in the form of the operators' platform.
  kPlatform,
};

constexpr bool HasRoutes(caller_interface interface) {
  return interface != caller_interface::kOpenai;
}

struct log_settings {
  /// Standard error if empty, standard output if "stdout".
  std::string path;
  log_level level = log_level::kInfo;
  friend bool operator==(const log_settings&, const log_settings&) = default;
};

struct limit_settings {
  std::uint32_t traffic_threads = 1;
  /// Callers are served on the control thread instead, for hosts with less
  /// than a core.
  bool share_control_thread = false;
  std::uint32_t max_connections = 4096;
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 4 * 1024 * 1024;
  std::uint32_t max_answer_bytes = 64 * 1024 * 1024;
  /// Requests of one customer that may wait at this daemon.
  std::uint32_t max_queued_per_customer = 64;
  std::uint32_t max_queued_total = 4096;
  friend bool operator==(const limit_settings&,
                         const limit_settings&) = default;
};

struct timeout_settings {
  /// Idle keep-alive connections of callers are closed after this time.
  std::chrono::milliseconds caller_idle{60'000};
  /// A caller must send a whole request in this time.
  std::chrono::milliseconds caller_read{15'000};
  /// A caller must take each piece of an answer in this time.
  std::chrono::milliseconds caller_write{30'000};
  /// Longest wait in the queue.
  std::chrono::milliseconds queue{30'000};
  std::chrono::milliseconds connect{1'000};
  std::chrono::milliseconds first_token{10'000};
  std::chrono::milliseconds between_tokens{5'000};
  /// Answers of engines that are not streamed.
  std::chrono::milliseconds whole_answer{120'000};
  /// First byte of the answer of a plain service.
  std::chrono::milliseconds service_answer{30'000};
  /// From arrival to the end of the answer.
  std::chrono::milliseconds total{600'000};
  /// A target that did not announce itself for this time gets no new work.
  std::chrono::milliseconds target_silence{6'000};
  /// Idle target connections older than this are closed and never reused.
  std::chrono::milliseconds target_idle{15'000};
  /// After SIGTERM the daemon refuses readiness this long before it stops to
  /// accept connections.
  std::chrono::milliseconds drain_notice{0};
  /// After SIGTERM, streams still running after this time are cut.
  std::chrono::milliseconds drain_deadline{120'000};
  /// If not 0, the whole shutdown must end in this time.
  std::chrono::milliseconds shutdown{0};
  friend bool operator==(const timeout_settings&,
                         const timeout_settings&) = default;
};

struct retry_settings {
  std::uint32_t max_attempts = 3;
  /// Retries allowed per request of the recent past.
  double budget_ratio = 0.1;
  /// Retries allowed at any time on top of the ratio, per second.
  double budget_per_second = 2.0;
  /// Retries that all routers together may save up, for each service; 0 leaves
  /// it to each router.
  double fleet_budget = 0;
  friend bool operator==(const retry_settings&,
                         const retry_settings&) = default;
};

/// How daemons find the control hosts that keep the operators' state.
struct control_settings {
  /// Addresses to begin with.
  std::vector<endpoint> hosts;
  /// If not 0, links are opened to this port of `hosts`.
  std::uint16_t link_port = 0;
  /// Only when the whole fleet starts for the first time: `hosts` are then the
  /// first voters.
  bool first_start = false;
  /// Control hosts that may lose their disks at the same time.
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
  /// Without peers and with port 0 no links to other daemons are kept.
  endpoint peer_listener;
  /// Peers to start from.
  std::vector<endpoint> peers;
  caller_interface interface = caller_interface::kOpenai;
  /// Where readiness is asked for; port 0 if only on the other listeners.
  endpoint readiness;
  /// Of a control host: where operators and targets call.
  endpoint commands;
  control_settings control;
  std::string data_folder;
  std::string sheet_path;
  /// Hashes of tokens that targets announce themselves with.
  std::vector<key_hash> target_tokens;
  std::vector<key_hash> operator_tokens;
  log_settings log;
  limit_settings limits;
  timeout_settings timeouts;
  retry_settings retries;
  friend bool operator==(const settings&, const settings&) = default;
};

}  // namespace burdocklock::config
