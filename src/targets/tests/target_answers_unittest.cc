// Targets that say in their answers that they leave.
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

TEST_CASE_METHOD(answers_fixture, "target that leaves: not read from") {
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
  directory.ReportLeaving(first->grant);
  announcement other = Target("b");
  other.address = {.port = 2};
  directory.Announce(other, now);
  const auto second = place();
  REQUIRE(second.has_value());
  CHECK(second->grant.target == target_id("b"));
  CHECK_FALSE(second->copy_from.has_value());
}

}  // namespace
}  // namespace burdocklock::targets
