// Announcements that control hosts pass on some time after they received them.
#include <chrono>
#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "framework/seeded_random.h"
#include "targets/target_directory.h"

namespace burdocklock::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct age_fixture {
  time_point now{seconds(1000)};
  seeded_random random{5};
  target_directory directory{directory_options{}, random};
  std::uint64_t sequence = 0;
  const pool_id pool{"llm"};
  const software_version version{"v1"};

  announce_result Announce(duration age,
                           const std::string& name = "v1",
                           std::uint64_t life = 1) {
    const announcement made{.target = target_id("a"),
                            .life = incarnation(life),
                            .address = {.port = 1},
                            .pools = {pool},
                            .state = target_state::kReady,
                            .version = software_version(name),
                            .slots = 8,
                            .cold_slots = 8,
                            .sequence = ++sequence,
                            .cold_for = milliseconds(0)};
    return directory.Announce(made, now - age, now);
  }
  slot_grant Grant() {
    const auto chosen = directory.Choose(pool, {}, now);
    REQUIRE(chosen.has_value());
    return chosen->grant;
  }
  // A grant of a target that was heard of 300 ms ago.
  slot_grant GrantBefore() {
    Announce(milliseconds(0));
    const slot_grant grant = Grant();
    now += milliseconds(300);
    return grant;
  }
  bool IsUsable() const { return directory.IsUsable(target_id("a"), now); }
  bool TakesStreams() {
    return directory.Choose(pool, {}, now, version).has_value();
  }
  duration SinceHeard() const {
    return directory.View(now).front().since_heard;
  }
};

TEST_CASE_METHOD(age_fixture,
                 "connection was refused, announcement from before it comes: "
                 "target not used until a later one") {
  const slot_grant grant = GrantBefore();
  directory.MarkUnreachable(grant, now);
  now += milliseconds(200);
  Announce(milliseconds(250));
  CHECK_FALSE(IsUsable());
  now += milliseconds(900);
  Announce(milliseconds(300));
  CHECK(IsUsable());
}

TEST_CASE_METHOD(age_fixture,
                 "stream broke off, announcement from before it comes: the "
                 "target takes none until a later one") {
  const slot_grant grant = GrantBefore();
  directory.MarkBroken(grant, now);
  now += milliseconds(200);
  Announce(milliseconds(250));
  CHECK_FALSE(TakesStreams());
  CHECK(IsUsable());
  now += milliseconds(900);
  Announce(milliseconds(300));
  CHECK(TakesStreams());
}

TEST_CASE_METHOD(age_fixture,
                 "stream broke off, announcement was under way: the target "
                 "takes none until the next one") {
  const slot_grant grant = GrantBefore();
  directory.MarkBroken(grant, now);
  now += milliseconds(40);
  Announce(milliseconds(0));
  CHECK_FALSE(TakesStreams());
  now += seconds(1);
  Announce(milliseconds(0));
  CHECK(TakesStreams());
}

TEST_CASE_METHOD(age_fixture,
                 "stream broke off, target announces another run at once: it "
                 "is used at once") {
  const slot_grant grant = GrantBefore();
  directory.MarkBroken(grant, now);
  directory.MarkUnreachable(grant, now);
  now += milliseconds(40);
  const bool same_version = GENERATE(false, true);
  Announce(milliseconds(0), same_version ? "v1" : "v2", same_version ? 2 : 1);
  CHECK(IsUsable());
  CHECK(TakesStreams() == same_version);
}

TEST_CASE_METHOD(
    age_fixture,
    "last target of a version refuses, earlier announcement comes: "
    "the version is gone in time") {
  Announce(milliseconds(0));
  const slot_grant grant = Grant();
  now += seconds(3);
  Announce(milliseconds(0));
  now += milliseconds(300);
  directory.MarkUnreachable(grant, now);
  now += milliseconds(100);
  Announce(milliseconds(350));
  now += seconds(2);
  CHECK(directory.HasVersion(pool, version, now));
  now += milliseconds(200);
  CHECK_FALSE(directory.HasVersion(pool, version, now));
}

TEST_CASE_METHOD(age_fixture,
                 "target is learned of after its silence: not used until it is "
                 "heard of") {
  Announce(seconds(12));
  CHECK_FALSE(IsUsable());
  CHECK(SinceHeard() == seconds(12));
  // Another control host may have heard of it since.
  CHECK(directory.HasVersion(pool, version, now));
  Announce(milliseconds(200));
  CHECK(IsUsable());
  CHECK(SinceHeard() == milliseconds(200));
}

TEST_CASE_METHOD(
    age_fixture,
    "target is learned of seconds after it was heard of: silent in "
    "time") {
  Announce(seconds(4));
  CHECK(IsUsable());
  now += milliseconds(1900);
  CHECK(IsUsable());
  now += milliseconds(200);
  CHECK_FALSE(IsUsable());
  CHECK(directory.next_deadline() <= now);
  CHECK(directory.CollectSilent(now).size() == 1);
  CHECK(directory.next_deadline() > now);
}

TEST_CASE_METHOD(age_fixture,
                 "later announcement was received earlier by another host: the "
                 "latest time counts") {
  Announce(milliseconds(100));
  Announce(milliseconds(450));
  CHECK(SinceHeard() == milliseconds(100));
}

}  // namespace
}  // namespace burdocklock::targets
