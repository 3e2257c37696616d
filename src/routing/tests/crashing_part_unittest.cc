// Prompt parts that end targets, over several routers, in virtual time.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "routing/tests/crashing_fleet.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSeeds = 20;
constexpr std::size_t kCrashesAllowed = 5;
constexpr std::size_t kArrivalsAllowed = 3;
constexpr seconds kEnd{30};

struct crashing_part_fixture {
  // Sizes, rates and the part's place depend on the seed.
  static crashing_fleet_options Draw(std::uint32_t seed) {
    seeded_random random(seed * 7919 + 1);
    return {.routers = 4 + random.Below(20),
            .engines = 12 + random.Below(20),
            .customers = 4 + random.Below(12),
            .sound_per_second = 60.0 + random.Below(60),
            .crashing_per_second = 1.0 + random.Below(8),
            .crashing_place = random.Below(2),
            .seed = seed};
  }

  // The part reaches targets three times at most later than the contact time
  // after the fifth target ended.
  static void CheckStopped(const crashing_fleet& fleet) {
    REQUIRE(fleet.crashes().size() > 0);
    if (fleet.crashes().size() < kCrashesAllowed) {
      return;
    }
    const time_point limit =
        fleet.crashes()[kCrashesAllowed - 1] + crashing_fleet::kContactTime;
    const auto late = std::count_if(
        fleet.crashing_arrivals().begin(), fleet.crashing_arrivals().end(),
        [&](const auto& arrival) {
          return arrival.in_contact && arrival.sent > limit;
        });
    INFO(fleet.crashes().size() << " targets ended");
    CHECK(late <= static_cast<std::ptrdiff_t>(kArrivalsAllowed));
  }

  // A request that may have ended its target is not sent to another one.
  static void CheckNotCarriedOn(const crashing_fleet& fleet) {
    std::map<request_seq, int> arrivals;
    for (const auto& arrival : fleet.crashing_arrivals()) {
      ++arrivals[arrival.request];
    }
    for (const auto& [request, count] : arrivals) {
      INFO("request " << request);
      CHECK(count == 1);
    }
  }
  static std::ptrdiff_t BlockedRequests(const crashing_fleet& fleet,
                                        bool crashing) {
    return std::count_if(
        fleet.accounts().begin(), fleet.accounts().end(),
        [&](const auto& entry) {
          const auto& account = entry.second;
          return account.has_crashing_part == crashing && account.refused &&
                 (account.refused->reason ==
                      refusals::refusal_reason::kPromptBlocked ||
                  account.refused->reason ==
                      refusals::refusal_reason::kRequestBlocked);
        });
  }

  struct served_share {
    double requests = 0;
    double begun = 0;
  };
  // Of the sound requests of each customer, and with each first part, at least
  // half as many begin after the part is known as before it came.
  static void CheckSoundServed(const crashing_fleet& fleet) {
    const time_point before = fleet.start() + seconds(8);
    const time_point after =
        fleet.crashes()[std::min(fleet.crashes().size(), kCrashesAllowed) - 1] +
        2 * crashing_fleet::kContactTime;
    std::map<std::string, std::pair<served_share, served_share>> shares;
    for (const auto& [id, account] : fleet.accounts()) {
      const bool is_before = account.sent < before;
      if (account.has_crashing_part || account.is_retry ||
          (!is_before && account.sent < after)) {
        continue;
      }
      for (const std::string& key :
           {account.customer.value(),
            "part " + std::to_string(account.first_part)}) {
        served_share& share =
            is_before ? shares[key].first : shares[key].second;
        share.requests += 1;
        share.begun += account.begun ? 1 : 0;
      }
    }
    for (const auto& [key, share] : shares) {
      const auto& [earlier, later] = share;
      INFO(key << ": " << earlier.begun << " of " << earlier.requests << ", "
               << later.begun << " of " << later.requests);
      const bool enough = earlier.requests >= 20 && later.requests >= 20;
      CHECK((!enough || later.begun / later.requests >=
                            earlier.begun / earlier.requests / 2));
    }
  }

  // Plays each seed and checks the bounds on the part and on sound requests.
  static void CheckEachSeed(
      const std::function<void(crashing_fleet&)>& arrange,
      const std::function<void(const crashing_fleet&)>& check = {},
      bool was_sound_before = false) {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      INFO("seed " << seed);
      crashing_fleet_options options = Draw(seed);
      options.was_sound_before = was_sound_before;
      crashing_fleet fleet(options);
      if (arrange) {
        arrange(fleet);
      }
      fleet.Run(kEnd);
      CheckStopped(fleet);
      CheckSoundServed(fleet);
      if (check) {
        check(fleet);
      }
    }
  }
};

TEST_CASE_METHOD(crashing_part_fixture,
                 "crashing part: requests with it come at all routers: it is "
                 "kept from targets and sound requests are served") {
  CheckEachSeed({}, CheckNotCarriedOn);
}

TEST_CASE_METHOD(crashing_part_fixture,
                 "crashing part: routers are cut off or restart empty: it is "
                 "kept from targets and sound requests are served") {
  CheckEachSeed([](crashing_fleet& fleet) {
    seeded_random& random = fleet.random();
    for (std::size_t router = 0; router < 4; ++router) {
      const milliseconds from(7000 + random.Below(5000));
      if (router % 2 == 0) {
        fleet.CutRouter(router, from,
                        from + milliseconds(500 + random.Below(6000)));
      } else {
        fleet.RestartRouter(router, from);
        fleet.RestartRouter(router, from + milliseconds(random.Below(8000)));
      }
    }
  });
}

TEST_CASE_METHOD(crashing_part_fixture,
                 "crashing part: targets also end for other reasons: it is "
                 "kept from targets and sound requests are served") {
  CheckEachSeed([](crashing_fleet& fleet) {
    fleet.EndTargetAtRandomTimes(0.7, seconds(6));
    fleet.EndTargets(0, 4, milliseconds(8000 + fleet.random().Below(3000)));
  });
}

TEST_CASE_METHOD(crashing_part_fixture,
                 "crashing part: it was served before: it is kept from "
                 "targets and sound requests are served") {
  constexpr bool kWasSoundBefore = true;
  CheckEachSeed({}, {}, kWasSoundBefore);
}

TEST_CASE_METHOD(crashing_part_fixture,
                 "crashing part: it was served before and all targets end "
                 "within a second: it is kept from targets",
                 "[.known-red]") {
  for (const std::uint32_t seed : {117U, 132U, 145U, 238U, 279U, 294U}) {
    INFO("seed " << seed);
    crashing_fleet_options options = Draw(seed);
    options.was_sound_before = true;
    crashing_fleet fleet(options);
    fleet.Run(kEnd);
    CheckStopped(fleet);
  }
}

TEST_CASE_METHOD(crashing_part_fixture,
                 "targets end in groups, all at once and alone: no prompt is "
                 "refused for it") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    crashing_fleet_options options = Draw(seed);
    options.crashing_from.reset();
    crashing_fleet fleet(options);
    fleet.EndTargetAtRandomTimes(0.7, seconds(3));
    fleet.EndTargets(0, 4, seconds(6));
    fleet.EndTargets(0, options.engines, seconds(12));
    fleet.EndTargets(2, 5, seconds(18));
    fleet.EndTargets(0, options.engines, seconds(24));
    fleet.Run(kEnd);
    CHECK(BlockedRequests(fleet, false) == 0);
  }
}

}  // namespace
}  // namespace burdocklock::routing
