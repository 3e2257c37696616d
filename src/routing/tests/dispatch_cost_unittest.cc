// One customer's flood, or the queues of many customers, at one router of a
// large fleet while targets have no room: how many targets are sought for it.
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;

struct full_targets_fixture : router_fixture {
  static constexpr std::uint32_t kTargets = 262;
  static constexpr std::uint32_t kSlots = 12;
  static constexpr std::uint32_t kRunning = 100;
  static constexpr std::uint32_t kCustomers = 50;
  static constexpr std::uint32_t kWaiting = 500;
  static inline const pool_id kPool{"lamp-llm"};

  std::uint64_t sequence = 0;

  full_targets_fixture() {
    router.SetPoolThroughput(kPool, 1e12);
    for (std::uint32_t i = 0; i < kTargets; ++i) {
      AnnounceTarget(i);
    }
    FillTargets(1);
  }

  static std::string Name(std::uint32_t index) {
    return "t" + std::to_string(index);
  }
  void AnnounceTarget(std::uint32_t index) {
    targets::announcement announced = Target(Name(index));
    announced.slots = kSlots;
    announced.cold_slots = kSlots;
    announced.sequence = ++sequence;
    announced.load.reset();
    Announce(announced);
  }
  // The other routers leave this one `left` slots at some targets.
  void FillTargets(std::uint32_t left) {
    admission::fleet_load others;
    for (std::uint32_t i = 0; i < kTargets; ++i) {
      others.targets.push_back(
          {.target = target_id(Name(i)),
           .in_flight = i < kRunning ? kSlots - left : kSlots});
    }
    effects out;
    router.SetOthersLoad(others, now, out);
    Record(out);
  }
  void RequestOf(std::uint32_t customer) {
    const request_seq id = RequestPrompt("c" + std::to_string(customer), 6000);
    const auto found = running.find(id);
    if (found != running.end()) {
      Report(id, attempt_first_output{});
    }
  }
  void FillQueues() {
    for (std::uint32_t i = 0; i < kRunning + kWaiting; ++i) {
      RequestOf(i % kCustomers);
    }
    REQUIRE(router.totals().in_flight == kRunning);
    REQUIRE(router.totals().waiting == kWaiting);
  }
  template <typename Event>
  std::uint64_t SearchesFor(Event event) {
    const std::uint64_t before = router.totals().target_searches;
    event();
    return router.totals().target_searches - before;
  }
};

TEST_CASE_METHOD(full_targets_fixture,
                 "targets without room, many customers wait: renewed "
                 "announcements and arrivals cause no search") {
  FillQueues();
  CHECK(SearchesFor([&] {
          for (std::uint32_t i = 0; i < kTargets; ++i) {
            AnnounceTarget(i);
          }
        }) == 0);
  CHECK(SearchesFor([&] { RequestOf(7); }) == 0);
}

TEST_CASE_METHOD(full_targets_fixture,
                 "targets without room, many customers wait: a freed slot is "
                 "taken at once, by one search") {
  FillQueues();
  const request_seq done = running.begin()->first;
  const target_id freed = running.begin()->second.target;
  const std::set<request_seq> before = [&] {
    std::set<request_seq> ids;
    for (const auto& [id, attempt] : running) {
      ids.insert(id);
    }
    return ids;
  }();
  CHECK(SearchesFor([&] { Report(done, attempt_completed{}); }) == 1);
  CHECK(router.totals().waiting == kWaiting - 1);
  for (const auto& [id, attempt] : running) {
    if (!before.contains(id)) {
      CHECK(attempt.target == freed);
    }
  }
}

TEST_CASE_METHOD(full_targets_fixture,
                 "targets without room, many customers wait: room that others "
                 "release is used by the next retry") {
  FillQueues();
  FillTargets(2);
  Advance(milliseconds(100));
  CHECK(router.totals().in_flight > kRunning);
}

// Slots are free, but the prompts that others sent have yet to be read.
TEST_CASE_METHOD(full_targets_fixture,
                 "targets with long backlogs, many customers wait: a retry "
                 "ends after a bounded number of searches") {
  FillTargets(0);
  for (std::uint32_t i = 0; i < kWaiting; ++i) {
    RequestOf(i % kCustomers);
  }
  admission::fleet_load others;
  for (std::uint32_t i = 0; i < kCustomers; ++i) {
    others.customers.push_back(
        {.pool = kPool,
         .customer = customer_id("c" + std::to_string(i)),
         .demand = 1e9,
         .waiting = 1e6});
  }
  for (std::uint32_t i = 0; i < kTargets; ++i) {
    others.targets.push_back({.target = target_id(Name(i)),
                              .in_flight = 2,
                              .unread_tokens = 1'000'000});
  }
  constexpr std::uint64_t kMostFailures = 64;
  CHECK(SearchesFor([&] {
          effects out;
          router.SetOthersLoad(others, now, out);
          Record(out);
        }) <= kMostFailures);
  CHECK(SearchesFor([&] { RequestOf(7); }) <= 8);
  CHECK(router.totals().in_flight == 0);
}

}  // namespace
}  // namespace burdocklock::routing
