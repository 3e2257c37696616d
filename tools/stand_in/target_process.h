// Common parts of the simulated engine and service: options, announcements and
// graceful shutdown on SIGTERM.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "framework/net/http_server.h"
#include "stand_in/fault_plan.h"

namespace burdocklock::stand_in {

struct target_options {
  std::string name = "target";
  std::string listen = "127.0.0.1:0";
  std::string entry_hosts;
  std::string token;
  std::string data_centre = "local";
  bool numbered = false;
  std::uint32_t slots = 16;
  std::uint32_t cold_slots = 2;
  std::uint32_t load_lag_ms = 500;
  std::string faults;
  unsigned fault_period = 0;
  std::string journal;
};

/// Adds the command-line options that all simulated targets share.
void AddTargetOptions(CLI::App& app, target_options& options);

/// Creates the fault plan that the options describe.
fault_plan MakeFaultPlan(const target_options& options);

struct target_process {
  target_options options;
  /// Announcement members that are not derived from `options`.
  nlohmann::json description;
  /// Number of requests in progress.
  std::function<std::size_t()> active_requests;
  std::function<nlohmann::json()> load;
};

/// Serves and announces until SIGTERM or SIGINT, then waits for active
/// requests. Returns the exit code. Must be called on a fiber.
int RunTarget(boost::asio::io_context& io,
              const target_process& process,
              net::i_http_handler& handler);

/// Runs `body` on a thread with a fiber scheduler and returns its result.
int RunOnFiberThread(
    const std::function<int(boost::asio::io_context& io)>& body);

}  // namespace burdocklock::stand_in
