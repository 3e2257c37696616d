// Targets that say in their answers that they leave or want a pause.
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "framework/seeded_random.h"
#include "targets/target_directory.h"

namespace burdocklock::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 8;

struct answers_fixture {
  using pause_report = target_directory::pause_report;

  time_point now{seconds(1000)};
  seeded_random random{5};
  target_directory directory{directory_options{}, random};
  std::uint64_t sequence = 0;

  announcement Target(const std::string& name, std::uint64_t life = 1) {
    return {.target = target_id(name),
            .life = incarnation(life),
            .address = {.port = 1},
            .pools = {pool_id("llm")},
            .state = target_state::kReady,
            .slots = kSlots,
            .cold_slots = kSlots / 4,
            .sequence = ++sequence,
            .cold_for = milliseconds(0)};
  }
  announce_result Announce(const std::string& name, std::uint64_t life = 1) {
    return directory.Announce(Target(name, life), now);
  }
  std::optional<choice> Choose() {
    return directory.Choose(pool_id("llm"), {}, now);
  }
  slot_grant Grant() {
    const auto chosen = Choose();
    REQUIRE(chosen.has_value());
    return chosen->grant;
  }
  pause_report Pause(const slot_grant& grant, duration pause) {
    return directory.ReportPause(grant, pause, now, now);
  }
  bool IsUsable() const { return directory.IsUsable(target_id("a"), now); }
};

TEST_CASE_METHOD(answers_fixture,
                 "target said that it leaves: announced as ready later: not "
                 "used") {
  Announce("a");
  CHECK(directory.ReportLeaving(Grant()));
  Announce("a");
  CHECK_FALSE(Choose().has_value());
  CHECK_FALSE(directory.HasUsable(pool_id("llm"), now));
  CHECK(directory.AnnouncedSlots(pool_id("llm"), now) == 0);
  CHECK(directory.AllLeave(pool_id("llm"), now));
}

TEST_CASE_METHOD(answers_fixture,
                 "target said that it leaves: a later incarnation is used") {
  Announce("a");
  const slot_grant grant = Grant();
  directory.ReportLeaving(grant);
  CHECK(Announce("a", 2) == announce_result::kNewIncarnation);
  CHECK(Choose().has_value());
  // A late answer of the earlier one.
  CHECK_FALSE(directory.ReportLeaving(grant));
  CHECK(Pause(grant, seconds(2)) == pause_report::kNone);
  CHECK(IsUsable());
}

TEST_CASE_METHOD(answers_fixture,
                 "target without an incarnation said that it leaves: numbers "
                 "its announcements anew: it counts as the same") {
  Announce("a", 0);
  directory.ReportLeaving(Grant());
  sequence = 0;
  CHECK(Announce("a", 0) == announce_result::kStale);
  sequence = 100;
  Announce("a", 0);
  CHECK_FALSE(IsUsable());
}

TEST_CASE_METHOD(answers_fixture,
                 "another target at the address says that it leaves: that one "
                 "is not used") {
  Announce("a");
  const slot_grant grant = Grant();
  Announce("b");
  directory.MarkReplaced(grant);
  directory.ReportOtherLeaving(grant);
  CHECK_FALSE(Choose().has_value());
  CHECK_FALSE(IsUsable());
}

TEST_CASE_METHOD(answers_fixture,
                 "target is leaving: another target is only silent: requests "
                 "are not refused for good") {
  Announce("a");
  directory.ReportLeaving(Grant());
  Announce("b");
  CHECK_FALSE(directory.AllLeave(pool_id("llm"), now));
  CHECK(directory.HasUsable(pool_id("llm"), now));
}

TEST_CASE_METHOD(answers_fixture,
                 "target asked for a pause: not used until its end") {
  Announce("a");
  CHECK(Pause(Grant(), milliseconds(1500)) == pause_report::kBegan);
  CHECK(directory.next_deadline() == now + milliseconds(1500));
  CHECK(directory.FirstPauseEnd(pool_id("llm"), now) ==
        now + milliseconds(1500));
  CHECK_FALSE(Choose().has_value());
  CHECK_FALSE(directory.HasUsable(pool_id("llm"), now));
  now += milliseconds(1499);
  CHECK_FALSE(Choose().has_value());
  now += milliseconds(1);
  CHECK(Choose().has_value());
  CHECK_FALSE(directory.FirstPauseEnd(pool_id("llm"), now).has_value());
}

TEST_CASE_METHOD(answers_fixture,
                 "target asked for a pause: answers to earlier requests ask "
                 "for none or a shorter one: the pause holds") {
  Announce("a");
  const slot_grant first = Grant();
  const slot_grant second = Grant();
  Pause(first, seconds(3));
  CHECK(Pause(second, seconds(1)) == pause_report::kNone);
  directory.ReleaseSucceeded(second);
  now += seconds(2);
  CHECK_FALSE(IsUsable());
  now += seconds(1);
  CHECK(IsUsable());
}

TEST_CASE_METHOD(answers_fixture,
                 "target asks many requests in flight for a pause: it is as "
                 "if one had failed") {
  Announce("a");
  std::vector<slot_grant> grants;
  for (std::uint32_t i = 0; i < kSlots; ++i) {
    grants.push_back(Grant());
  }
  for (const slot_grant& grant : grants) {
    Pause(grant, seconds(1));
    directory.ReleaseFailed(grant, now);
  }
  CHECK(directory.RampLimit(target_id("a")) == kSlots / 4);
  now += seconds(1);
  std::uint32_t sent = 0;
  while (Choose().has_value()) {
    ++sent;
  }
  CHECK(sent == kSlots / 4);
}

TEST_CASE_METHOD(answers_fixture,
                 "targets asked for pauses, one has also failed: the first "
                 "that is usable again counts") {
  Announce("a");
  const slot_grant grant = Grant();
  Announce("b");
  Pause(grant, seconds(3));
  const slot_grant other = Grant();
  REQUIRE(other.target == target_id("b"));
  Pause(other, milliseconds(1));
  now += milliseconds(1);
  const slot_grant again = Grant();
  REQUIRE(again.target == target_id("b"));
  Pause(again, milliseconds(1));
  CHECK(directory.FirstPauseEnd(pool_id("llm"), now) ==
        now + milliseconds(500));
  now += milliseconds(1);
  // A target that is kept back after failures alone is no reason to refuse.
  CHECK_FALSE(directory.FirstPauseEnd(pool_id("llm"), now).has_value());
}

TEST_CASE_METHOD(answers_fixture,
                 "target asked for a pause, then is silent and comes back: the "
                 "pause holds") {
  Announce("a");
  Pause(Grant(), seconds(9));
  now += seconds(7);
  directory.CollectSilent(now);
  CHECK(directory.next_deadline() == now + seconds(2));
  CHECK_FALSE(directory.FirstPauseEnd(pool_id("llm"), now).has_value());
  Announce("a");
  CHECK_FALSE(IsUsable());
  now += seconds(2);
  CHECK(IsUsable());
}

TEST_CASE_METHOD(answers_fixture,
                 "target asked for a pause: a later incarnation is used") {
  Announce("a");
  Pause(Grant(), seconds(9));
  Announce("a", 2);
  CHECK(IsUsable());
}

TEST_CASE_METHOD(answers_fixture,
                 "target asked this router for a pause: it counts in the "
                 "capacity that all routers share") {
  Announce("a");
  const slot_grant grant = Grant();
  Announce("b");
  Pause(grant, seconds(9));
  CHECK_FALSE(IsUsable());
  CHECK(directory.AnnouncedSlots(pool_id("llm"), now) == 2 * kSlots);
  CHECK(directory.UsableThroughput(pool_id("llm"), 100, 0, now) ==
        200 * kSlots);
}

TEST_CASE_METHOD(answers_fixture,
                 "target that asked for a pause or leaves: not read from") {
  const prompt asked{.input_tokens = 2000,
                     .parts = {{.id = 9, .tokens = 2000}}};
  const auto place = [&] {
    return directory.ChooseForPrompt(pool_id("llm"), {}, asked, {}, now);
  };
  directory.SetPrefixCopying(pool_id("llm"), true);
  directory.SetCacheCapacity(pool_id("llm"), 1'000'000);
  Announce("a");
  const auto first = place();
  REQUIRE(first.has_value());
  directory.ReportFirstOutput(first->grant, milliseconds(40));
  SECTION("pause") {
    Pause(first->grant, seconds(3));
  }
  SECTION("leaves") {
    directory.ReportLeaving(first->grant);
  }
  announcement other = Target("b");
  other.address = {.port = 2};
  directory.Announce(other, now);
  const auto second = place();
  REQUIRE(second.has_value());
  CHECK(second->grant.target == target_id("b"));
  CHECK_FALSE(second->copy_from.has_value());
}

TEST_CASE_METHOD(answers_fixture,
                 "target has started again at another software version within "
                 "one life: what its earlier version said does not count") {
  Announce("a");
  announcement first = Target("a");
  first.version = software_version("v1");
  directory.Announce(first, now);
  const slot_grant earlier = Grant();
  announcement second = Target("a");
  second.version = software_version("v2");
  CHECK(directory.Announce(second, now) == announce_result::kNewIncarnation);
  CHECK_FALSE(directory.ReportLeaving(earlier));
  CHECK(Pause(earlier, seconds(2)) == pause_report::kNone);
  CHECK(IsUsable());
}

}  // namespace
}  // namespace burdocklock::targets
