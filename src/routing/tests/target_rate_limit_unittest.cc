// Rate limits that targets name, over several routers, in virtual time.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/tests/simulated_fleet.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSeeds = 10;
constexpr seconds kLimitBegins{6};
constexpr seconds kLimitEnds{22};
constexpr seconds kContactTime{3};
constexpr seconds kWindow{4};
constexpr milliseconds kAfterTold{500};
constexpr std::size_t kLimited = 8;

struct limited_targets_fixture {
  std::map<std::size_t, double> limits;

  static simulated_fleet_options Draw(std::uint32_t seed) {
    seeded_random random(seed * 7919 + 3);
    return {.routers = 4 + random.Below(24),
            .targets = 12,
            .reading_rate = 55'000,
            .seed = seed};
  }
  simulated_fleet Make(std::uint32_t seed) {
    const simulated_fleet_options options = Draw(seed);
    simulated_fleet fleet(options);
    seeded_random random(seed * 7919 + 5);
    limits.clear();
    for (std::size_t engine = 0; engine < kLimited; ++engine) {
      limits[engine] = 1.0 + random.Below(80) / 10.0;
      fleet.LimitEngine(engine, limits[engine], kLimitBegins, kLimitEnds);
    }
    for (std::size_t i = 0; i < 8; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = 22,
                         .tokens = 1600});
    }
    return fleet;
  }

  // In any 4 s a target gets at most one and a half times what its limit
  // allows, and 5 requests, from routers that it had told half a second before.
  // Routers that restarted since do not count.
  void CheckLimits(const simulated_fleet& fleet) const {
    for (const auto& [engine, limit] : limits) {
      std::vector<time_point> counted;
      for (const auto& arrival : fleet.arrivals()) {
        const bool restarted =
            fleet.restarted().contains(arrival.router) &&
            arrival.at < fleet.restarted().at(arrival.router) + kContactTime;
        if (arrival.engine == engine && arrival.told && !restarted &&
            arrival.at >= *arrival.told + kAfterTold &&
            arrival.at >= fleet.start() + kLimitBegins + kContactTime &&
            arrival.at < fleet.start() + kLimitEnds) {
          counted.push_back(arrival.at);
        }
      }
      std::size_t most = 0;
      for (std::size_t first = 0; first < counted.size(); ++first) {
        std::size_t last = first;
        while (last < counted.size() &&
               counted[last] < counted[first] + kWindow) {
          ++last;
        }
        most = std::max(most, last - first);
      }
      const double allowed = 1.5 * limit * 4 + 5;
      INFO("engine " << engine << ", limit " << limit);
      CHECK(static_cast<double>(most) <= allowed);
    }
  }

  // Requests that reached a target in the given time, in a second.
  static double RateAt(const simulated_fleet& fleet,
                       std::size_t engine,
                       seconds from,
                       seconds to) {
    const auto count = std::count_if(
        fleet.arrivals().begin(), fleet.arrivals().end(), [&](const auto& a) {
          return a.engine == engine && a.at >= fleet.start() + from &&
                 a.at < fleet.start() + to;
        });
    return static_cast<double>(count) /
           static_cast<double>((to - from).count());
  }
};

TEST_CASE_METHOD(limited_targets_fixture,
                 "targets name a rate limit: all routers together keep it") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = Make(seed);
    fleet.Run(seconds(30));
    CheckLimits(fleet);
  }
}

TEST_CASE_METHOD(limited_targets_fixture,
                 "targets name a rate limit: routers restart or do not hear of "
                 "each other: all together keep it") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = Make(seed);
    for (std::size_t router = 0; router < 4; ++router) {
      if (router % 2 == 0) {
        fleet.CutRouter(router, seconds(8 + router), seconds(14 + router));
      } else {
        fleet.RestartRouter(router, seconds(9 + router));
      }
    }
    fleet.Run(seconds(30));
    CheckLimits(fleet);
  }
}

TEST_CASE_METHOD(limited_targets_fixture,
                 "targets name a rate limit: they get most of it, and their "
                 "usual rate once they name none") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    simulated_fleet fleet = Make(seed);
    fleet.Run(seconds(30));
    double given = 0;
    double allowed = 0;
    for (const auto& [engine, limit] : limits) {
      given += RateAt(fleet, engine, seconds(10), seconds(22));
      allowed += limit;
      INFO("seed " << seed << ", engine " << engine << ", limit " << limit);
      CHECK(RateAt(fleet, engine, seconds(25), seconds(30)) >=
            RateAt(fleet, engine, seconds(1), seconds(6)) / 2);
    }
    INFO("seed " << seed);
    CHECK(given >= 0.7 * allowed);
  }
}

}  // namespace
}  // namespace burdocklock::routing
