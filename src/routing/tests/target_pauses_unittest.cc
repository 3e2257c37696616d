// Targets that ask for pauses or leave, over several routers, in virtual time.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

#include <catch2/catch.hpp>

#include "routing/tests/simulated_fleet.h"
#include "routing/tests/starvation_check.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSeeds = 5;
constexpr milliseconds kAfterAnswer{500};
constexpr std::ptrdiff_t kMostInPause = 2;
constexpr std::size_t kTargets = 12;

struct wishing_targets_fixture {
  static simulated_fleet Make(std::uint32_t seed) {
    seeded_random random(seed * 7919 + 11);
    simulated_fleet fleet({.routers = 4 + random.Below(12),
                           .targets = kTargets,
                           .reading_rate = 55'000,
                           .seed = seed});
    for (std::size_t i = 0; i < 8; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = 22,
                         .tokens = 1600});
    }
    return fleet;
  }
  // Requests of a router that reached a target half a second after an answer,
  // but before the end that it named. Restarted routers do not count.
  static std::ptrdiff_t MostInPause(const simulated_fleet& fleet) {
    std::ptrdiff_t most = 0;
    for (const auto& wish : fleet.wishes()) {
      if (fleet.restarted().contains(wish.router)) {
        continue;
      }
      most = std::max(
          most, std::count_if(fleet.arrivals().begin(), fleet.arrivals().end(),
                              [&](const auto& arrival) {
                                return arrival.engine == wish.engine &&
                                       arrival.router == wish.router &&
                                       arrival.at > wish.at + kAfterAnswer &&
                                       arrival.at < wish.until;
                              }));
    }
    return most;
  }
  static bool IsServedAgain(const simulated_fleet& fleet,
                            std::size_t engine,
                            duration from) {
    return std::any_of(fleet.arrivals().begin(), fleet.arrivals().end(),
                       [&](const auto& arrival) {
                         return arrival.engine == engine &&
                                arrival.at > fleet.start() + from;
                       });
  }
};

TEST_CASE_METHOD(wishing_targets_fixture,
                 "targets refuse many requests and ask for pauses: routers "
                 "keep them, and come back") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = Make(seed);
    seeded_random random(seed);
    for (std::size_t engine = 0; engine < kTargets; ++engine) {
      fleet.AskForPauses(engine, milliseconds(700 + random.Below(3000)),
                         seconds(4 + engine / 3), seconds(9 + random.Below(3)));
    }
    fleet.RestartRouter(1, seconds(7));
    fleet.Run(seconds(22));
    REQUIRE_FALSE(fleet.wishes().empty());
    CHECK(MostInPause(fleet) <= kMostInPause);
    for (std::size_t engine = 0; engine < kTargets; ++engine) {
      CHECK(IsServedAgain(fleet, engine, seconds(16)));
    }
  }
}

TEST_CASE_METHOD(
    wishing_targets_fixture,
    "a third of the targets ask for pauses while one customer asks "
    "for far more than its share: no other customer is starved") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = Make(seed);
    fleet.AddCustomer({.customer = customer_id("flood"),
                       .requests_per_second = 150,
                       .tokens = 5000,
                       .begins = seconds(3)});
    for (std::size_t engine = 0; engine < kTargets / 3; ++engine) {
      fleet.AskForPauses(engine, milliseconds(1500), seconds(6), seconds(14));
    }
    fleet.Run(seconds(20));
    REQUIRE_FALSE(fleet.wishes().empty());
    CHECK(MostInPause(fleet) <= kMostInPause);
    CheckNoneStarved(fleet, 6, 20);
  }
}

TEST_CASE_METHOD(wishing_targets_fixture,
                 "targets leave and say so in answers alone: routers that "
                 "passed one on send them nothing more") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = Make(seed);
    for (std::size_t engine = 0; engine < kTargets / 2; ++engine) {
      fleet.LeaveInAnswers(engine, seconds(4 + engine));
    }
    fleet.Run(seconds(15));
    REQUIRE_FALSE(fleet.wishes().empty());
    CHECK(MostInPause(fleet) == 0);
  }
}

}  // namespace
}  // namespace burdocklock::routing
