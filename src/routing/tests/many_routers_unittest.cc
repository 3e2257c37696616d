// Many routers before many targets with few slots each, in virtual time: what a
// router knows of the others' requests is older than these requests last.
#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "routing/tests/simulated_fleet.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct many_routers_fixture {
  static constexpr std::size_t kRouters = 117;
  static constexpr std::size_t kTargets = 256;
  static constexpr std::size_t kCustomers = 60;
  static constexpr std::uint32_t kTokens = 2500;
  static constexpr std::uint32_t kSlots = 12;

  static simulated_fleet MakeFleet(std::uint32_t seed) {
    return simulated_fleet({.routers = kRouters,
                            .targets = kTargets,
                            .slots = kSlots,
                            .queue = 25,
                            .reading_rate = 55'000,
                            .output_time = milliseconds(800),
                            .summary_interval = milliseconds(450),
                            .seed = seed});
  }
  static void AddCustomers(simulated_fleet& fleet, double per_second) {
    for (std::size_t i = 0; i < kCustomers; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = per_second / kCustomers,
                         .tokens = kTokens,
                         .begins = seconds(1)});
    }
  }

  // Requests that began a second.
  static double BegunPerSecond(const simulated_fleet& fleet,
                               std::int64_t from,
                               std::int64_t to) {
    double tokens = 0;
    for (const auto& [customer, seconds] : fleet.accounts()) {
      for (auto at = seconds.lower_bound(from);
           at != seconds.end() && at->first < to; ++at) {
        tokens += at->second.started;
      }
    }
    return tokens / kTokens / static_cast<double>(to - from);
  }

  // Of all arrivals at targets one in a hundred may be rejected.
  static void CheckFewRejected(const simulated_fleet& fleet,
                               std::int64_t from,
                               std::int64_t to) {
    constexpr int kOneIn = 100;
    const simulated_arrivals reached = fleet.Reached(from, to);
    INFO("rejected " << reached.rejected << " of " << reached.all);
    CHECK(reached.rejected * kOneIn <= reached.all);
  }
};

// All routers sent to the targets that had least in the last summary.
TEST_CASE_METHOD(many_routers_fixture,
                 "many routers: three quarters of the slots are in use: "
                 "targets reject few arrivals") {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = MakeFleet(seed);
    AddCustomers(fleet, 2700);
    fleet.Run(seconds(8));
    CheckFewRejected(fleet, 3, 8);
  }
}

TEST_CASE_METHOD(many_routers_fixture,
                 "many routers: more is asked than targets serve: they reject "
                 "few arrivals") {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = MakeFleet(seed);
    AddCustomers(fleet, 4500);
    fleet.Run(seconds(8));
    CheckFewRejected(fleet, 3, 8);
  }
}

TEST_CASE_METHOD(many_routers_fixture,
                 "many routers: more is asked than targets serve: their slots "
                 "are in use",
                 "[.known-red]") {
  constexpr double kServed = kTargets * kSlots / 0.8;
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = MakeFleet(seed);
    AddCustomers(fleet, 4500);
    fleet.Run(seconds(8));
    CHECK(BegunPerSecond(fleet, 3, 8) >= 0.97 * kServed);
  }
}

// All its prompts begin with the same part, which few targets have cached.
TEST_CASE_METHOD(many_routers_fixture,
                 "many routers: one customer's prompts share their first part: "
                 "targets reject few arrivals",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    INFO("seed " << seed);
    simulated_fleet fleet = MakeFleet(seed);
    AddCustomers(fleet, 1800);
    fleet.AddCustomer({.customer = customer_id("shared"),
                       .requests_per_second = 500,
                       .tokens = 1500,
                       .shared_tokens = 4000,
                       .begins = seconds(2)});
    fleet.Run(seconds(8));
    CheckFewRejected(fleet, 3, 8);
  }
}

}  // namespace
}  // namespace burdocklock::routing
