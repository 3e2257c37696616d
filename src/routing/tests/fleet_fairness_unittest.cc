// Fair shares of customers over several routers, in virtual time.
#include <algorithm>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "routing/tests/simulated_fleet.h"
#include "routing/tests/starvation_check.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct busy_fleet_fixture {
  static constexpr std::size_t kSmallCustomers = 8;

  static void AddCustomers(simulated_fleet& fleet) {
    fleet.AddCustomer({.customer = customer_id("large"),
                       .requests_per_second = 200,
                       .router = 0,
                       .begins = seconds(5)});
    for (std::size_t i = 0; i < kSmallCustomers; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = 8.0 + 4.0 * i,
                         .tokens = 2500});
    }
  }

  // A large customer at one router sends most of the load; the others' requests
  // reach all routers. Two of five engines stop within three seconds.
  static simulated_fleet PlayEngineLoss(std::uint32_t seed) {
    simulated_fleet fleet({.seed = seed});
    AddCustomers(fleet);
    for (std::size_t engine = 0; engine < 12; ++engine) {
      fleet.StopEngine(engine, engine < 6 ? seconds(7) : seconds(10));
    }
    fleet.Run(seconds(20));
    return fleet;
  }

  static simulated_fleet PlayOverstatedThroughput(std::uint32_t seed) {
    simulated_fleet fleet({.routers = 24,
                           .targets = 12,
                           .reading_rate = 55'000,
                           .stated_throughput = 1.5,
                           .seed = seed});
    AddCustomers(fleet);
    fleet.AddCustomer({.customer = customer_id("wide"),
                       .requests_per_second = 100,
                       .tokens = 6000,
                       .begins = seconds(3)});
    fleet.Run(seconds(20));
    return fleet;
  }
};

struct one_router_fixture {
  // All requests of one customer come to one router, those of another to all.
  // Most engines slow down; one ends and returns cold, two are silent for a
  // second.
  static simulated_fleet Play(std::uint32_t seed, int leader_changes = 0) {
    return seed % 2 == 0 ? Play(seed, 5, 9, leader_changes)
                         : Play(seed, 24, 24, leader_changes);
  }
  static simulated_fleet Play(std::uint32_t seed,
                              std::size_t routers,
                              std::size_t engines,
                              int leader_changes) {
    const double capacity = kReadingRate * static_cast<double>(engines);
    simulated_fleet fleet({.routers = routers,
                           .targets = engines,
                           .reading_rate = kReadingRate,
                           .seed = seed});
    fleet.AddCustomer({.customer = customer_id("narrow"),
                       .requests_per_second = 0.6 * capacity / kTokens,
                       .tokens = kTokens,
                       .router = 1,
                       .begins = seconds(3)});
    fleet.AddCustomer({.customer = customer_id("wide"),
                       .requests_per_second = 1.2 * capacity / kTokens,
                       .tokens = kTokens,
                       .begins = seconds(3)});
    for (std::size_t i = 0; i < kSmallCustomers; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = 0.03 * capacity / kSmallTokens,
                         .tokens = kSmallTokens});
    }
    for (std::size_t engine = 0; engine < engines * 7 / 10; ++engine) {
      fleet.SlowEngine(engine, 0.5, seconds(8));
    }
    fleet.StopEngine(engines - 1, seconds(10));
    fleet.ReturnCold(engines - 1, milliseconds(12'500), seconds(3));
    fleet.SilenceEngine(0, milliseconds(11'500), milliseconds(1100));
    fleet.SilenceEngine(engines - 2, milliseconds(13'200), milliseconds(1100));
    for (int i = 0; i < leader_changes; ++i) {
      fleet.ChangeLeader(seconds(8 + 3 * i));
    }
    fleet.Run(seconds(22));
    return fleet;
  }

 private:
  static constexpr double kReadingRate = 55'000;
  static constexpr std::uint32_t kTokens = 6000;
  static constexpr std::uint32_t kSmallTokens = 2000;
  static constexpr std::size_t kSmallCustomers = 8;
};

TEST_CASE_METHOD(one_router_fixture,
                 "fleet: engines slow down and one customer waits at one "
                 "router: it is not starved") {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(Play(seed), 6, 22);
  }
}

struct one_router_slots_fixture {
  // All requests of one customer come to one router, those of another to all.
  // Most engines name a limit, so that the slots of the others are scarce.
  static simulated_fleet Play(std::uint32_t seed) {
    constexpr std::size_t kEngines = 24;
    constexpr double kOutputSeconds = 2;
    constexpr double kServed =
        kEngines * simulated_fleet::kSlots / kOutputSeconds;
    simulated_fleet fleet({.routers = 24,
                           .targets = kEngines,
                           .reading_rate = 55'000,
                           .output_time = seconds(2),
                           .seed = seed});
    fleet.AddCustomer({.customer = customer_id("narrow"),
                       .requests_per_second = 0.5 * kServed,
                       .router = 1,
                       .begins = seconds(3)});
    fleet.AddCustomer({.customer = customer_id("wide"),
                       .requests_per_second = kServed,
                       .begins = seconds(3)});
    for (std::size_t i = 0; i < kSmallCustomers; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = 0.02 * kServed});
    }
    for (std::size_t engine = 0; engine < kEngines * 7 / 10; ++engine) {
      fleet.LimitEngine(engine, 6, seconds(6), seconds(22));
    }
    fleet.Run(seconds(22));
    return fleet;
  }

 private:
  static constexpr std::size_t kSmallCustomers = 8;
};

// The new leader's sums lack the routers that have not reported to it yet.
TEST_CASE_METHOD(one_router_fixture,
                 "fleet: engines slow down and the leader changes four times: "
                 "no customer is starved",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(Play(seed, 4), 6, 22);
  }
}

// A router's part of a backlog is less than one prompt.
TEST_CASE_METHOD(one_router_fixture,
                 "fleet: engines slow down before 120 routers: no customer is "
                 "starved",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(Play(seed, 120, 24, 0), 6, 22);
  }
}

TEST_CASE_METHOD(one_router_slots_fixture,
                 "fleet: engines name limits and one customer waits at one "
                 "router: it is not starved") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(Play(seed), 8, 22);
  }
}

TEST_CASE_METHOD(one_router_slots_fixture,
                 "fleet: engines begin to name limits and one customer waits "
                 "at one router: it is not starved in the first seconds",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(Play(seed), 6, 14);
  }
}

// All engines name a limit of half of what their slots serve.
struct limited_fleet_fixture {
  static constexpr double kLimit = 12;
  static constexpr std::size_t kEngines = 24;
  static constexpr std::uint32_t kTokens = 2000;

  // One customer asks for three times what the limits allow, at all routers;
  // eight small ones for a third of it.
  static simulated_fleet PlayOneWide(std::uint32_t seed) {
    return Play(seed, {});
  }
  // Another one's requests come to one router.
  static simulated_fleet PlayOneNarrow(std::uint32_t seed) {
    return Play(seed, 1.0);
  }

  static double StartedPerSecond(const simulated_fleet& fleet,
                                 std::int64_t from,
                                 std::int64_t to) {
    double started = 0;
    for (const auto& [customer, seconds] : fleet.accounts()) {
      for (std::int64_t at = from; at < to; ++at) {
        started += AccountAt(seconds, at).started;
      }
    }
    return started / static_cast<double>(to - from);
  }

 private:
  static simulated_fleet Play(std::uint32_t seed,
                              std::optional<double> narrow_part) {
    constexpr double kAllowed = kLimit * kEngines;
    simulated_fleet fleet({.routers = 24,
                           .targets = kEngines,
                           .reading_rate = 55'000,
                           .output_time = seconds(2),
                           .seed = seed});
    if (narrow_part) {
      fleet.AddCustomer({.customer = customer_id("narrow"),
                         .requests_per_second = *narrow_part * kAllowed,
                         .tokens = kTokens,
                         .router = 1,
                         .begins = seconds(3)});
    }
    fleet.AddCustomer({.customer = customer_id("wide"),
                       .requests_per_second = 3 * kAllowed,
                       .tokens = kTokens,
                       .begins = seconds(3)});
    for (std::size_t i = 0; i < 8; ++i) {
      fleet.AddCustomer({.customer = customer_id("c" + std::to_string(i)),
                         .requests_per_second = 0.04 * kAllowed,
                         .tokens = kTokens});
    }
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      fleet.LimitEngine(engine, kLimit, seconds(6), seconds(24));
    }
    fleet.Run(seconds(24));
    return fleet;
  }
};

// What nobody else may use must not be kept free for those who wait elsewhere.
TEST_CASE_METHOD(limited_fleet_fixture,
                 "fleet: all engines name limits and a customer asks for three "
                 "times as much: three quarters of the limits are used",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    CHECK(StartedPerSecond(PlayOneWide(seed), 9, 24) >=
          0.75 * kLimit * kEngines * kTokens);
  }
}

TEST_CASE_METHOD(limited_fleet_fixture,
                 "fleet: all engines name limits and one customer waits at one "
                 "router: it is not starved",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 6; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(PlayOneNarrow(seed), 9, 24);
  }
}

TEST_CASE_METHOD(busy_fleet_fixture,
                 "fleet: two of five engines refuse connections: no customer "
                 "is starved") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(PlayEngineLoss(seed), 6, 20);
  }
}

TEST_CASE_METHOD(busy_fleet_fixture,
                 "fleet: two of five engines refuse connections: no call is "
                 "refused for a failed target while others serve") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    const simulated_fleet fleet = PlayEngineLoss(seed);
    INFO("seed " << seed);
    for (const auto& [reason, count] : fleet.refusals()) {
      UNSCOPED_INFO(reason << " " << count);
    }
    CHECK(fleet.refusals().count("target_failed not_run") == 0);
  }
}

TEST_CASE_METHOD(busy_fleet_fixture,
                 "fleet: the stated throughput is half again what engines "
                 "reach: no customer is starved") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(PlayOverstatedThroughput(seed), 6, 20);
  }
}

TEST_CASE_METHOD(busy_fleet_fixture,
                 "fleet: the stated throughput is half again what engines "
                 "reach: two seconds after the flood began no customer is "
                 "starved") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    CheckNoneStarved(PlayOverstatedThroughput(seed), 7, 20);
  }
}

}  // namespace
}  // namespace burdocklock::routing
