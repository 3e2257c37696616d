// Prompt placement: cached parts, load, copying between targets, cold targets.
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "framework/seeded_random.h"
#include "targets/prefix_memory.h"
#include "targets/shared_rate.h"
#include "targets/target_directory.h"

namespace burdocklock::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Directory of one router that shares the engines of a pool with other routers.
struct prompt_fixture {
  seeded_random random{5};
  time_point now{seconds(1000)};
  target_directory directory{Options(), random};

  static directory_options Options() {
    directory_options options;
    options.local_data_centre = data_centre_id("cheras");
    options.self = daemon_id("r0");
    return options;
  }
  void Announce(const std::string& name,
                std::uint64_t sequence = 1,
                milliseconds cold_for = milliseconds(0)) {
    directory.Announce({.target = target_id(name),
                        .life = incarnation(1),
                        .data_centre = data_centre_id("cheras"),
                        .pools = {pool_id("llm")},
                        .state = target_state::kReady,
                        .slots = 64,
                        .cold_slots = 16,
                        .sequence = sequence,
                        .cold_for = cold_for},
                       now);
  }
  void AnnounceThree() {
    directory.SetCacheCapacity(pool_id("llm"), 500'000);
    for (const char* name : {"a", "b", "c"}) {
      Announce(name);
    }
  }
  static prompt Prompt(std::uint64_t session, std::uint32_t own_tokens) {
    static std::uint64_t last_own = 1'000'000;
    return {.input_tokens = 4000 + own_tokens,
            .max_output_tokens = 100,
            .parts = {{.id = session, .tokens = 4000},
                      {.id = ++last_own, .tokens = own_tokens}}};
  }
  std::optional<choice> Choose(const prompt& prompt,
                               placement_constraints constraints = {}) {
    return directory.ChooseForPrompt(pool_id("llm"), {}, prompt, constraints,
                                     now);
  }
};

TEST_CASE_METHOD(prompt_fixture,
                 "placement: prompts of one session: stay together while their "
                 "target has room") {
  AnnounceThree();
  const auto first = Choose(Prompt(7, 500));
  REQUIRE(first.has_value());
  directory.ReportFirstOutput(first->grant, milliseconds(50));
  directory.ReleaseSucceeded(first->grant);
  const auto second = Choose(Prompt(7, 500));
  REQUIRE(second.has_value());
  CHECK(second->grant.target == first->grant.target);
  // Only the request's own part has to be processed.
  CHECK(second->unread_tokens == 500);
}

TEST_CASE_METHOD(
    prompt_fixture,
    "placement: routers without contact: prefer the same target for "
    "a session") {
  AnnounceThree();
  const auto here = Choose(Prompt(7, 500));
  prompt_fixture other;
  other.AnnounceThree();
  const auto there = other.Choose(Prompt(7, 500));
  REQUIRE((here && there));
  CHECK(here->grant.target == there->grant.target);
}

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

TEST_CASE_METHOD(prompt_fixture,
                 "placement: targets have a full backlog: no more prompts are "
                 "sent until output begins") {
  AnnounceThree();
  std::vector<slot_grant> sent;
  for (std::uint64_t session = 1; session <= 60; ++session) {
    if (const auto made = Choose(Prompt(session, 6000))) {
      sent.push_back(made->grant);
    }
  }
  REQUIRE_FALSE(sent.empty());
  CHECK(sent.size() < 10);
  CHECK_FALSE(Choose(Prompt(100, 6000)).has_value());
  for (const slot_grant& grant : sent) {
    if (grant.target == sent.front().target) {
      directory.ReportFirstOutput(grant, milliseconds(200));
    }
  }
  CHECK(Choose(Prompt(100, 6000)).has_value());
}

TEST_CASE_METHOD(
    prompt_fixture,
    "placement: a target is loaded by other routers: it is avoided") {
  AnnounceThree();
  for (std::uint64_t session = 1; session <= 20; ++session) {
    const auto free_choice = Choose(Prompt(session, 200));
    REQUIRE(free_choice.has_value());
    directory.ReleaseNeutral(free_choice->grant);
    directory.SetRemoteLoad(
        {{.target = free_choice->grant.target, .unread_tokens = 40'000}}, now);
    const auto made = Choose(Prompt(session, 200));
    REQUIRE(made.has_value());
    CHECK(made->grant.target != free_choice->grant.target);
    directory.ReleaseNeutral(made->grant);
    directory.SetRemoteLoad({}, now);
  }
}

TEST_CASE_METHOD(prompt_fixture,
                 "placement: customer over its share: only targets with "
                 "spare capacity") {
  AnnounceThree();
  directory.SetRemoteLoad({{.target = target_id("a"), .unread_tokens = 9000},
                           {.target = target_id("b"), .unread_tokens = 9000},
                           {.target = target_id("c"), .unread_tokens = 9000}},
                          now);
  CHECK_FALSE(
      Choose(Prompt(7, 500), {.spare_capacity_only = true}).has_value());
  CHECK(Choose(Prompt(7, 500)).has_value());
}

TEST_CASE_METHOD(prompt_fixture,
                 "announcements: numbered, out of order: the latest number "
                 "applies") {
  Announce("a", 5);
  announcement leaving{.target = target_id("a"),
                       .life = incarnation(1),
                       .data_centre = data_centre_id("cheras"),
                       .pools = {pool_id("llm")},
                       .state = target_state::kLeaving,
                       .slots = 64,
                       .sequence = 6};
  directory.Announce(leaving, now);
  Announce("a", 4);
  CHECK_FALSE(directory.IsUsable(target_id("a"), now));
  Announce("a", 7);
  CHECK(directory.IsUsable(target_id("a"), now));
  leaving.sequence = kLastSequence;
  directory.Announce(leaving, now);
  Announce("a", 8);
  CHECK_FALSE(directory.IsUsable(target_id("a"), now));
}

TEST_CASE_METHOD(prompt_fixture,
                 "another process at the address: no new requests until the "
                 "target announces a new incarnation") {
  Announce("a");
  const auto made = directory.Choose(pool_id("llm"), {}, now);
  REQUIRE(made.has_value());
  directory.MarkReplaced(made->grant);
  CHECK_FALSE(directory.IsUsable(target_id("a"), now));
}

// All routers send to one cold target at the highest rate that they may.
TEST_CASE(
    "cold target: any number of routers: total rate stays within the limit") {
  constexpr double kRate = 12;
  constexpr double kBound = kRate * 1.5 + 5;
  for (const std::size_t count : {1U, 2U, 4U, 5U, 12U, 30U}) {
    CAPTURE(count);
    std::vector<daemon_id> routers;
    for (std::size_t i = 0; i < count; ++i) {
      routers.emplace_back("r" + std::to_string(i));
    }
    std::vector<rate_bucket> buckets(count);
    std::vector<time_point> admitted;
    for (int ms = 0; ms < 4000; ms += 5) {
      const time_point now{seconds(100) + milliseconds(ms)};
      for (std::size_t i = 0; i < count; ++i) {
        const double rate =
            kRate * RateShare(target_id("t"), routers[i], routers);
        if (buckets[i].HasToken(rate, now)) {
          buckets[i].TakeToken(rate, now);
          admitted.push_back(now);
        }
      }
    }
    for (std::size_t first = 0; first < admitted.size(); ++first) {
      const auto within =
          std::count_if(admitted.begin(), admitted.end(), [&](time_point at) {
            return at >= admitted[first] && at < admitted[first] + seconds(1);
          });
      REQUIRE(static_cast<double>(within) <= kBound);
    }
    // The target still receives most of the permitted rate.
    CHECK(admitted.size() >= 4 * kRate * 0.8);
  }
}

TEST_CASE("shared rate: the other routers are not known: one share of many") {
  CHECK(RateShare(target_id("t"), daemon_id("r"), {}) <= 0.25);
  CHECK(RateShare(target_id("t"), daemon_id("r"), {daemon_id("r")}) == 1.0);
}

TEST_CASE_METHOD(prompt_fixture,
                 "an answer that began before the limit was named ends later: "
                 "the limit holds") {
  Announce("a");
  directory.SetRouters({daemon_id("r")});
  const auto made = directory.Choose(pool_id("llm"), {}, now);
  REQUIRE(made.has_value());
  CHECK(directory.ReportRateLimit(made->grant, 0.5, now));
  CHECK_FALSE(
      directory.ReportRateLimit(made->grant, std::nullopt, now - seconds(5)));
  CHECK(directory.Choose(pool_id("llm"), {}, now).has_value());
  CHECK_FALSE(directory.Choose(pool_id("llm"), {}, now).has_value());
  CHECK(directory.ReportRateLimit(made->grant, std::nullopt, now));
  CHECK(directory.Choose(pool_id("llm"), {}, now).has_value());
}

struct copying_fixture : prompt_fixture {
  copying_fixture() {
    AnnounceThree();
    directory.SetPrefixCopying(pool_id("llm"), true);
  }
  // Lets a target process the session's first prompt; returns the target.
  target_id ProcessOnce(std::uint64_t session) {
    const auto made = Choose(Prompt(session, 500));
    REQUIRE(made.has_value());
    directory.ReportFirstOutput(made->grant, milliseconds(50));
    directory.ReleaseSucceeded(made->grant);
    return made->grant.target;
  }
  void Load(const target_id& target) {
    directory.SetRemoteLoad({{.target = target, .unread_tokens = 40'000}}, now);
  }
};

TEST_CASE_METHOD(copying_fixture,
                 "copying: the holder is busy: another target copies from it") {
  const target_id holder = ProcessOnce(7);
  Load(holder);
  const auto made = Choose(Prompt(7, 500));
  REQUIRE(made.has_value());
  CHECK(made->grant.target != holder);
  CHECK(made->copied_tokens > 0);
  CHECK(made->copy_from.has_value());
  // Only the request's own part has to be processed.
  CHECK(made->unread_tokens == 500);
}

TEST_CASE_METHOD(copying_fixture,
                 "copying: two holders: a source is named in case of a miss") {
  const target_id first = ProcessOnce(7);
  Load(first);
  const target_id second = ProcessOnce(7);
  REQUIRE(second != first);
  directory.SetRemoteLoad({}, now);
  const auto made = Choose(Prompt(7, 500));
  REQUIRE(made.has_value());
  CHECK(made->copied_tokens == 0);
  CHECK(made->copy_from.has_value());
}

TEST_CASE_METHOD(copying_fixture,
                 "copying: declared parts longer than the prompt: copies at "
                 "most the prompt") {
  prompt wrong = Prompt(7, 500);
  const auto first = Choose(wrong);
  REQUIRE(first.has_value());
  directory.ReportFirstOutput(first->grant, milliseconds(50));
  directory.ReleaseSucceeded(first->grant);
  wrong.input_tokens = 100;
  const auto second = directory.ChooseForPrompt(
      pool_id("llm"), {first->grant.target}, wrong, {}, now);
  REQUIRE(second.has_value());
  CHECK(second->copied_tokens <= 100);
  CHECK(second->unread_tokens <= 100);
}

TEST_CASE_METHOD(copying_fixture,
                 "copying: output has not begun: no source yet") {
  const auto first = Choose(Prompt(7, 500));
  REQUIRE(first.has_value());
  Load(first->grant.target);
  const auto second = Choose(Prompt(7, 500));
  REQUIRE(second.has_value());
  CHECK(second->grant.target != first->grant.target);
  CHECK_FALSE(second->copy_from.has_value());
  CHECK(second->unread_tokens > 500);
}

TEST_CASE_METHOD(copying_fixture,
                 "copying: the holder is leaving: no longer a source") {
  const target_id holder = ProcessOnce(7);
  directory.Announce({.target = holder,
                      .life = incarnation(1),
                      .data_centre = data_centre_id("cheras"),
                      .pools = {pool_id("llm")},
                      .state = target_state::kLeaving,
                      .slots = 64,
                      .sequence = 2},
                     now);
  const auto made = Choose(Prompt(7, 500));
  REQUIRE(made.has_value());
  CHECK_FALSE(made->copy_from.has_value());
}

TEST_CASE_METHOD(copying_fixture,
                 "copying: targets of the pool do not copy: no source") {
  directory.SetPrefixCopying(pool_id("llm"), false);
  const target_id holder = ProcessOnce(7);
  Load(holder);
  const auto made = Choose(Prompt(7, 500));
  REQUIRE(made.has_value());
  CHECK_FALSE(made->copy_from.has_value());
}

TEST_CASE(
    "prefix memory: more parts than fit: the least recently used is evicted") {
  prefix_memory memory(1000);
  const auto part = [](std::uint64_t id) {
    return prompt{.input_tokens = 400, .parts = {{.id = id, .tokens = 400}}};
  };
  memory.RecordSent(part(1));
  memory.RecordSent(part(2));
  memory.RecordSent(part(1));
  memory.RecordSent(part(3));
  CHECK(memory.CachedTokens(part(1)) == 400);
  CHECK(memory.CachedTokens(part(2)) == 0);
  CHECK(memory.CachedTokens(part(3)) == 400);
}

TEST_CASE("prefix memory: sent and processed parts: counted separately") {
  prefix_memory memory(1000);
  const prompt sent{
      .input_tokens = 300,
      .parts = {{.id = 1, .tokens = 100}, {.id = 2, .tokens = 200}}};
  memory.RecordSent(sent);
  CHECK(memory.CachedTokens(sent) == 300);
  CHECK(memory.ProcessedTokens(sent) == 0);
  memory.MarkProcessed({sent.parts[0]});
  CHECK(memory.ProcessedTokens(sent) == 100);
  memory.RecordSent(sent);
  CHECK(memory.ProcessedTokens(sent) == 100);
}

}  // namespace
}  // namespace burdocklock::targets
