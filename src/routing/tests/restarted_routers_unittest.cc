// Streams that their callers take up after the end of all routers go on about
// as often as new ones begin, in virtual time.
#include <algorithm>
#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "routing/tests/simulated_fleet.h"
#include "routing/tests/starvation_check.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two large customers ask for more than their shares, eight small ones for
// less, a seventh more than the engines read in all. Engines of two versions
// serve. All routers end at one moment, with six seconds' work running.
struct restarted_routers_fixture {
  static constexpr std::int64_t kRestartAt = 8;
  static constexpr std::int64_t kUntil = 20;

  static simulated_fleet Play(std::uint32_t seed) {
    constexpr std::size_t kRouters = 4;
    constexpr std::size_t kEngines = 16;
    constexpr double kServed = 128;
    simulated_fleet fleet({.routers = kRouters,
                           .targets = kEngines,
                           .reading_rate = 20'000,
                           .stated_throughput = 0.8,
                           .output_time = seconds(6),
                           .versions = 2,
                           .time_limit = seconds(12),
                           .seed = seed});
    for (const char* name : {"large1", "large2"}) {
      fleet.AddCustomer({.customer = customer_id(name),
                         .requests_per_second = 0.4 * kServed});
    }
    for (int i = 0; i < 8; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = 0.04 * kServed});
    }
    for (std::size_t router = 0; router < kRouters; ++router) {
      fleet.RestartRouter(router, seconds(kRestartAt));
    }
    fleet.Run(seconds(kUntil));
    return fleet;
  }

  struct counts {
    double sent = 0;
    double began = 0;

    [[nodiscard]] double Share() const { return began / sent; }
  };
  // Of the streams whose fate is known at the end.
  static counts CountOf(const simulated_fleet& fleet, bool taken_up) {
    counts found;
    for (const simulated_fleet::stream& stream : fleet.streams()) {
      const duration at = stream.sent - fleet.start();
      if (stream.taken_up == taken_up && at < seconds(kUntil - 2)) {
        ++found.sent;
        found.began += stream.began ? 1 : 0;
      }
    }
    return found;
  }
};

TEST_CASE_METHOD(restarted_routers_fixture,
                 "restarted routers: all end at one moment and callers take "
                 "their streams up: the share that goes on is at least half "
                 "of that of new streams") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    const simulated_fleet fleet = Play(seed);
    const counts taken_up = CountOf(fleet, true);
    const counts fresh = CountOf(fleet, false);
    for (const auto& [reason, count] : fleet.refused_taken_up()) {
      UNSCOPED_INFO(reason << " " << count);
    }
    INFO("seed " << seed << ": " << taken_up.began << " of " << taken_up.sent
                 << " taken up, " << fresh.began << " of " << fresh.sent
                 << " new");
    REQUIRE(taken_up.sent >= 12);
    CHECK(taken_up.Share() >= fresh.Share() / 2);
  }
}

TEST_CASE_METHOD(restarted_routers_fixture,
                 "restarted routers: all end at one moment and callers take "
                 "their streams up: no customer is starved") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(Play(seed), 4, kUntil);
  }
}

struct broken_off_fixture {
  static constexpr std::int64_t kFrom = 4;
  static constexpr std::int64_t kUntil = 20;

  // Two customers ask for the same; one breaks its streams off and takes them
  // up again and again.
  static simulated_fleet Play(std::uint32_t seed) {
    constexpr double kServed = 144;
    simulated_fleet fleet({.routers = 4,
                           .targets = 12,
                           .reading_rate = 55'000,
                           .stated_throughput = 0.44,
                           .output_time = seconds(4),
                           .versions = 2,
                           .time_limit = seconds(12),
                           .seed = seed});
    fleet.AddCustomer({.customer = customer_id("breaks"),
                       .requests_per_second = 0.6 * kServed,
                       .breaks_after = milliseconds(200)});
    fleet.AddCustomer({.customer = customer_id("large"),
                       .requests_per_second = 0.6 * kServed});
    for (int i = 0; i < 8; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = 0.03 * kServed});
    }
    fleet.Run(seconds(kUntil));
    return fleet;
  }
  static double StartedBy(const simulated_fleet& fleet,
                          const std::string& customer) {
    const auto& account = fleet.accounts().at(customer_id(customer));
    double started = 0;
    for (std::int64_t at = kFrom; at < kUntil; ++at) {
      started += AccountAt(account, at).started;
    }
    return started;
  }
};

TEST_CASE_METHOD(broken_off_fixture,
                 "streams broken off by their caller and taken up again and "
                 "again: their customer gains little beyond its share, nobody "
                 "is starved") {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    const simulated_fleet fleet = Play(seed);
    const double breaking = StartedBy(fleet, "breaks");
    const double large = StartedBy(fleet, "large");
    INFO("seed " << seed << ": started " << breaking << " and " << large);
    CHECK(breaking <= 1.3 * large);
    CheckNoneStarved(fleet, kFrom, kUntil);
  }
}

}  // namespace
}  // namespace burdocklock::routing
