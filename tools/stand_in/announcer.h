// Announces a stand-in target at entry hosts, as a real target would.
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
  /// Entry hosts; each gets every announcement.
  std::vector<endpoint> entry_hosts;
  std::string token;
  duration period = std::chrono::seconds(2);
  /// Age of the load figures when they are sent.
  duration load_lag{};
  /// Share of announcements that are lost on the way.
  double loss = 0;
  /// Each announcement carries a number that rises, as control hosts ask for.
  bool numbered = false;
};

/// Held by shared pointer, as announcements under way outlive a stop.
class announcer : public std::enable_shared_from_this<announcer> {
 public:
  /// `describe` returns the announcement without its "load" member, `load`
  /// the present load.
  announcer(boost::asio::io_context& io,
            announcer_options options,
            std::function<nlohmann::json()> describe,
            std::function<nlohmann::json()> load);

  /// Announces until `Stop`; blocks the calling fiber.
  void Run();
  /// Sends one announcement to every entry host now.
  void AnnounceOnce();
  void Stop() { stopped_ = true; }

 private:
  nlohmann::json LaggedLoad();

  boost::asio::io_context& io_;
  announcer_options options_;
  std::function<nlohmann::json()> describe_;
  std::function<nlohmann::json()> load_;
  std::deque<std::pair<time_point, nlohmann::json>> history_;
  std::uint32_t sent_ = 0;
  std::uint64_t sequence_ = 0;
  bool stopped_ = false;
};

/// Milliseconds since the Unix epoch.
std::uint64_t WallMilliseconds();

/// Splits "a,b,c"; empty parts are left out.
std::vector<std::string> SplitList(const std::string& text);
/// Parses addresses separated by commas; ends the program on a wrong one.
std::vector<endpoint> ParseEndpoints(const std::string& text);

}  // namespace burdocklock::stand_in
