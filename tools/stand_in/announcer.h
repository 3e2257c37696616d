// Periodically announces a simulated target to entry hosts.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "framework/types/endpoint.h"
#include "framework/types/time.h"

namespace burdocklock::stand_in {

struct announcer_options {
  /// Every announcement is sent to each of these hosts.
  std::vector<endpoint> entry_hosts;
  std::string token;
  duration period = std::chrono::seconds(2);
  /// Age of the reported load values at the time of sending.
  duration load_lag{};
  /// Fraction of announcements that are dropped instead of sent.
  double loss = 0;
  /// Adds an increasing sequence number to each announcement, as control hosts
  /// require.
  bool numbered = false;
};

/// Must be owned by a shared pointer: announcements in flight keep the object
/// alive after `Stop`.
class announcer : public std::enable_shared_from_this<announcer> {
 public:
  /// `describe` returns the announcement without its "load" member; `load`
  /// returns the current load.
  announcer(boost::asio::io_context& io,
            announcer_options options,
            std::function<nlohmann::json()> describe,
            std::function<nlohmann::json()> load);

  /// Announces until `Stop`; blocks the calling fiber.
  void Run();
  /// Sends one announcement to every entry host without waiting for replies.
  void AnnounceOnce();
  void Stop() { stopped_ = true; }

 private:
  nlohmann::json DelayedLoad();

  boost::asio::io_context& io_;
  announcer_options options_;
  std::function<nlohmann::json()> describe_;
  std::function<nlohmann::json()> load_;
  std::deque<std::pair<time_point, nlohmann::json>> load_history_;
  std::uint32_t send_count_ = 0;
  std::uint64_t sequence_ = 0;
  bool stopped_ = false;
};

/// Milliseconds since the Unix epoch.
std::uint64_t WallMilliseconds();

/// Splits a comma-separated list and drops empty elements.
std::vector<std::string> SplitList(const std::string& text);
/// Parses comma-separated addresses; exits with status 2 if one is invalid.
std::vector<endpoint> ParseEndpoints(const std::string& text);

}  // namespace burdocklock::stand_in
