// Indexes over the targets of a large pool, and decisions that compare a part
// of them.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "targets/pool_targets.h"
#include "targets/rendezvous.h"
#include "targets/tests/prompt_fixture.h"

namespace burdocklock::targets {
namespace {

struct pool_targets_fixture {
  static constexpr std::size_t kTargets = 300;

  std::deque<known_target> known;
  pool_targets pool;

  pool_targets_fixture() {
    for (std::size_t i = 0; i < kTargets; ++i) {
      known.push_back(
          {.announced = {.target = target_id("t" + std::to_string(i))},
           .ramp = admission_ramp(1, 1)});
      pool.Add(&known.back());
    }
  }
  [[nodiscard]] std::vector<target_id> HighestByHand(std::uint64_t key) const {
    std::vector<std::pair<std::uint64_t, target_id>> weighted;
    for (const known_target* target : pool.all()) {
      const target_id& id = target->announced.target;
      weighted.emplace_back(RendezvousWeight(key, id.value()), id);
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<target_id> highest;
    for (std::size_t i = 0; i < pool_targets::kRanked; ++i) {
      highest.push_back(weighted[i].second);
    }
    return highest;
  }
  [[nodiscard]] std::vector<target_id> Ranked(std::uint64_t key) const {
    std::vector<target_id> ranked;
    for (const known_target* target : pool.Ranked(key)) {
      ranked.push_back(target->announced.target);
    }
    return ranked;
  }
};

TEST_CASE_METHOD(pool_targets_fixture,
                 "pool: targets come and go: rankings follow at once") {
  for (std::uint64_t key = 1; key <= 50; ++key) {
    CHECK(Ranked(key) == HighestByHand(key));
  }
  for (std::size_t i = 0; i < kTargets; i += 2) {
    pool.Remove(&known[i]);
  }
  for (std::uint64_t key = 1; key <= 50; ++key) {
    CHECK(Ranked(key) == HighestByHand(key));
  }
  pool.Add(&known[0]);
  for (std::uint64_t key = 1; key <= 50; ++key) {
    CHECK(Ranked(key) == HighestByHand(key));
  }
}

TEST_CASE_METHOD(pool_targets_fixture,
                 "pool: smaller than a ranking: the rest is empty") {
  for (std::size_t i = 3; i < kTargets; ++i) {
    pool.Remove(&known[i]);
  }
  CHECK(std::count(pool.Ranked(1).begin(), pool.Ranked(1).end(), nullptr) ==
        pool_targets::kRanked - 3);
}

struct part_holders_fixture : pool_targets_fixture {
  static constexpr std::uint64_t kPart = 7;

  void Send(std::size_t index, std::uint64_t part) {
    known[index].prefixes.RecordSent(
        {.input_tokens = 100, .parts = {{.id = part, .tokens = 100}}});
    pool.holders().Add(part, &known[index]);
  }
  std::vector<std::size_t> HoldersOf(std::uint64_t part, std::size_t most) {
    std::vector<std::size_t> found;
    pool.holders().Visit(part, most, [&](known_target& holder) {
      for (std::size_t i = 0; i < known.size(); ++i) {
        if (&known[i] == &holder) {
          found.push_back(i);
        }
      }
    });
    std::sort(found.begin(), found.end());
    return found;
  }
};

TEST_CASE_METHOD(part_holders_fixture,
                 "holders of a part: evicted or removed: no longer named") {
  Send(1, kPart);
  Send(2, kPart);
  Send(3, kPart);
  CHECK(HoldersOf(kPart, 16) == std::vector<std::size_t>{1, 2, 3});
  CHECK(HoldersOf(kPart, 2).size() == 2);
  // The memory holds no more than one part.
  Send(2, kPart + 1);
  pool.Remove(&known[3]);
  CHECK(HoldersOf(kPart, 16) == std::vector<std::size_t>{1});
  Send(1, kPart + 1);
  CHECK(HoldersOf(kPart, 16).empty());
}

TEST_CASE_METHOD(part_holders_fixture,
                 "holders: many parts are sent and evicted: the index stays "
                 "bounded") {
  for (std::uint64_t part = 1; part <= 100'000; ++part) {
    Send(part % 10, part);
  }
  CHECK(pool.holders().size() <= 20'000);
}

struct large_pool_fixture : prompt_fixture {
  static constexpr std::size_t kTargets = 300;

  large_pool_fixture() {
    directory.SetCacheCapacity(pool_id("llm"), 500'000);
    for (std::size_t i = 0; i < kTargets; ++i) {
      Announce("t" + std::to_string(i));
    }
  }
};

TEST_CASE_METHOD(large_pool_fixture,
                 "large pool, a part of it is compared: prompts of a session "
                 "go where it is cached") {
  for (std::uint64_t session = 1; session <= 20; ++session) {
    const target_id first = Choose(Prompt(session, 100))->grant.target;
    const auto again = Choose(Prompt(session, 100));
    CHECK(again->grant.target == first);
  }
}

TEST_CASE_METHOD(large_pool_fixture,
                 "large pool, one target is left in service: it is found") {
  now += std::chrono::seconds(7);
  Announce("t123", 2);
  for (std::uint64_t session = 1; session <= 20; ++session) {
    const auto made = Choose(Prompt(session, 100));
    REQUIRE(made.has_value());
    CHECK(made->grant.target == target_id("t123"));
    directory.ReportFirstOutput(made->grant, std::chrono::milliseconds(50));
    directory.ReleaseSucceeded(made->grant);
  }
}

}  // namespace
}  // namespace burdocklock::targets
