// Parts of targets while prompts wait at other routers.
#include <chrono>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "targets/tests/prompt_fixture.h"

namespace burdocklock::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE_METHOD(prompt_fixture,
                 "placement: prompts of other routers are processed first: the "
                 "target is not taken to be slower") {
  directory.SetCacheCapacity(pool_id("llm"), 500'000);
  Announce("a");
  directory.SetRemoteLoad({{.target = target_id("a"), .unread_tokens = 20'000}},
                          now);
  for (std::uint64_t session = 1; session <= 100; ++session) {
    const auto made = Choose(Prompt(session, 6000));
    REQUIRE(made.has_value());
    constexpr double kTokensPerMs = 55;
    const double ahead = 20'000 + made->unread_tokens;
    directory.ReportFirstOutput(
        made->grant,
        std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(ahead / kTokensPerMs)));
    directory.ReleaseSucceeded(made->grant);
  }
}

TEST_CASE_METHOD(
    prompt_fixture,
    "placement: a customer within its share: has room wherever one "
    "over its share has") {
  Announce("a");
  directory.SetUnknownCompetition(0.01);
  const placement_constraints over_share{.spare_capacity_only = true};
  const auto first = Choose(Prompt(1, 100));
  REQUIRE(first.has_value());
  const auto over = Choose(Prompt(1, 100), over_share);
  REQUIRE(over.has_value());
  directory.ReleaseNeutral(over->grant);
  CHECK(Choose(Prompt(1, 100)).has_value());
}

TEST_CASE_METHOD(
    prompt_fixture,
    "placement: prompts wait at other routers: a customer over its "
    "share finds no spare capacity") {
  AnnounceThree();
  const placement_constraints over_share{.spare_capacity_only = true};
  directory.SetCompetition(pool_id("llm"), {.waiting_elsewhere = 30'000});
  CHECK_FALSE(Choose(Prompt(1, 100), over_share).has_value());
  CHECK(Choose(Prompt(1, 100)).has_value());
  directory.SetCompetition(pool_id("llm"), {});
  CHECK(Choose(Prompt(2, 100), over_share).has_value());
}

// A freed slot is seen first by the router that had it.
TEST_CASE_METHOD(prompt_fixture,
                 "placement: all slots are taken and prompts wait elsewhere: a "
                 "router beyond its part leaves a freed slot") {
  constexpr std::uint32_t kSlots = 64;
  Announce("a");
  std::vector<slot_grant> own;
  for (std::uint32_t i = 0; i < kSlots / 2; ++i) {
    const auto made = Choose(Prompt(7, 10));
    REQUIRE(made.has_value());
    own.push_back(made->grant);
    directory.ReportFirstOutput(made->grant, milliseconds(5));
  }
  directory.SetRemoteLoad(
      {{.target = target_id("a"), .in_flight = kSlots / 2 - 1}}, now);
  directory.SetCompetition(pool_id("llm"),
                           {.own_fraction = 0.1, .waiting_elsewhere = 1000});
  CHECK_FALSE(Choose(Prompt(7, 10)).has_value());
  // With its part of the slots it may take it.
  directory.SetCompetition(pool_id("llm"),
                           {.own_fraction = 0.6, .waiting_elsewhere = 1000});
  CHECK(Choose(Prompt(7, 10)).has_value());
}

TEST_CASE_METHOD(prompt_fixture,
                 "placement: slots are free and prompts wait elsewhere: a "
                 "router beyond its part uses them") {
  Announce("a");
  directory.SetRemoteLoad({{.target = target_id("a"), .in_flight = 40}}, now);
  directory.SetCompetition(pool_id("llm"),
                           {.own_fraction = 0.01, .waiting_elsewhere = 1000});
  CHECK(Choose(Prompt(7, 10)).has_value());
}

// Small parts of many routers must not be rounded down to nothing.
TEST_CASE("placement: parts of slots of 200 routers: add up to the slots") {
  constexpr std::size_t kRouters = 200;
  std::uint32_t taken = 0;
  for (std::size_t router = 0; router < kRouters; ++router) {
    seeded_random random{static_cast<std::uint32_t>(router)};
    directory_options options;
    options.local_data_centre = data_centre_id("cheras");
    options.self = daemon_id("r" + std::to_string(router));
    target_directory directory(options, random);
    for (std::size_t target = 0; target < 10; ++target) {
      directory.Announce({.target = target_id("t" + std::to_string(target)),
                          .life = incarnation(1),
                          .data_centre = data_centre_id("cheras"),
                          .pools = {pool_id("llm")},
                          .state = target_state::kReady,
                          .slots = 64,
                          .cold_slots = 64,
                          .sequence = 1,
                          .cold_for = milliseconds(0)},
                         time_point{seconds(1000)});
    }
    std::vector<admission::target_load> busy;
    for (std::size_t target = 0; target < 10; ++target) {
      busy.push_back(
          {.target = target_id("t" + std::to_string(target)), .in_flight = 60});
    }
    directory.SetRemoteLoad(busy, time_point{seconds(1000)});
    directory.SetCompetition(pool_id("llm"), {.own_fraction = 1.0 / kRouters,
                                              .waiting_elsewhere = 1000});
    const prompt tiny{.input_tokens = 1, .parts = {{.id = 1, .tokens = 1}}};
    while (directory
               .ChooseForPrompt(pool_id("llm"), {}, tiny, {},
                                time_point{seconds(1000)})
               .has_value()) {
      ++taken;
    }
  }
  // Within a tenth of the 640 slots.
  CHECK(taken >= 576);
  CHECK(taken <= 704);
}

}  // namespace
}  // namespace burdocklock::targets
