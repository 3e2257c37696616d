// Prompt placement: cached parts, load, copying between targets, cold targets.
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "targets/prefix_memory.h"
#include "targets/shared_rate.h"
#include "targets/tests/prompt_fixture.h"

namespace burdocklock::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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

TEST_CASE(
    "copying: the holder is of another software version: nothing is "
    "copied from it") {
  prompt_fixture fixture;
  target_directory& directory = fixture.directory;
  directory.SetCacheCapacity(pool_id("llm"), 500'000);
  directory.SetPrefixCopying(pool_id("llm"), true);
  const auto announce = [&](const char* name, const char* version) {
    directory.Announce({.target = target_id(name),
                        .life = incarnation(1),
                        .data_centre = data_centre_id("cheras"),
                        .pools = {pool_id("llm")},
                        .state = target_state::kReady,
                        .version = software_version(version),
                        .slots = 64,
                        .cold_slots = 64,
                        .sequence = 1},
                       fixture.now);
  };
  announce("a", "v1");
  const auto first = fixture.Choose(prompt_fixture::Prompt(7, 500));
  REQUIRE(first.has_value());
  directory.ReportFirstOutput(first->grant, milliseconds(50));
  directory.ReleaseSucceeded(first->grant);
  const bool same_version = GENERATE(false, true);
  announce("b", same_version ? "v1" : "v2");
  directory.SetRemoteLoad({{.target = target_id("a"), .unread_tokens = 40'000}},
                          fixture.now);
  const auto second = fixture.Choose(prompt_fixture::Prompt(7, 500));
  REQUIRE(second.has_value());
  CHECK(second->grant.target == target_id("b"));
  CHECK(second->copy_from.has_value() == same_version);
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
