// Announcement parsing, admission ramp and target selection.
#include <algorithm>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "framework/seeded_random.h"
#include "targets/admission_ramp.h"
#include "targets/announcement_codec.h"
#include "targets/announcement_parser.h"
#include "targets/cold_admission.h"
#include "targets/prefix_memory.h"
#include "targets/target_directory.h"

namespace burdocklock::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct announcement_fixture {
  nlohmann::json body = {
      {"target", "lamp-llm-1"},
      {"incarnation", 3},
      {"data_centre", "cheras"},
      {"kind", "engine"},
      {"address", "127.0.0.1:9000"},
      {"models", {"lamp-llm"}},
      {"state", "ready"},
      {"slots", 16},
      {"cold_slots", 2},
      {"fencing", "checks"},
      {"load",
       {{"running", 1}, {"waiting", 0}, {"kv_used", 0.25}, {"at_ms", 77}}}};
};

TEST_CASE_METHOD(announcement_fixture,
                 "announcement: complete body: all members are parsed") {
  const auto parsed = ParseAnnouncement(body.dump());
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().target == target_id("lamp-llm-1"));
  CHECK(parsed.value().slots == 16);
  CHECK(parsed.value().fencing == fencing_support::kChecks);
  CHECK(parsed.value().load->at_ms == 77);
}

TEST_CASE_METHOD(announcement_fixture,
                 "announcement: version: passed on; absent from an older peer: "
                 "empty") {
  CHECK(ParseAnnouncement(body.dump()).value().version.value().empty());
  body["version"] = "v1.1";
  const announcement parsed = ParseAnnouncement(body.dump()).value();
  CHECK(parsed.version == software_version("v1.1"));
  nlohmann::json sent = parsed;
  CHECK(sent.get<announcement>().version == parsed.version);
  sent.erase(sent.size() - 1);
  CHECK(sent.get<announcement>().version.value().empty());
  body["version"] = GENERATE(as<nlohmann::json>(), 1, std::string(129, 'v'));
  CHECK_FALSE(ParseAnnouncement(body.dump()).has_value());
}

TEST_CASE(
    "target names no version in one announcement of a life: the known "
    "one is kept") {
  seeded_random random{5};
  target_directory directory{{}, random};
  announcement announced{.target = target_id("a"),
                         .life = incarnation(1),
                         .pools = {pool_id("p")},
                         .state = target_state::kReady,
                         .version = software_version("v1"),
                         .slots = 4,
                         .cold_slots = 4,
                         .sequence = 1};
  const time_point now{seconds(10)};
  directory.Announce(announced, now);
  announced.sequence = 2;
  announced.version = {};
  CHECK(directory.Announce(announced, now) == announce_result::kUpdated);
  CHECK(directory.HasVersion(pool_id("p"), software_version("v1"), now));
  CHECK_FALSE(directory.HasUsableOther(pool_id("p"), {target_id("a")},
                                       software_version("v1"), now));
  announced.sequence = 3;
  announced.version = software_version("v2");
  CHECK(directory.Announce(announced, now) == announce_result::kNewIncarnation);
  CHECK_FALSE(directory.HasVersion(pool_id("p"), software_version("v1"), now));
}

TEST_CASE_METHOD(announcement_fixture,
                 "announcement: a missing or invalid member: rejected") {
  const std::string key =
      GENERATE("target", "incarnation", "data_centre", "kind", "address",
               "models", "state", "slots", "cold_slots");
  SECTION("missing") {
    body.erase(key);
  }
  SECTION("wrong type") {
    body[key] = nullptr;
  }
  SECTION("negative") {
    body[key] = -1;
  }
  const auto parsed = ParseAnnouncement(body.dump());
  REQUIRE(!parsed.has_value());
  CHECK(parsed.error().detail.find(key) != std::string::npos);
}

TEST_CASE_METHOD(announcement_fixture,
                 "announcement: cold slots above slots: rejected") {
  body["cold_slots"] = 17;
  CHECK(!ParseAnnouncement(body.dump()).has_value());
}

TEST_CASE("announcement: arbitrary bytes: parsed or rejected without a crash") {
  rc::prop("no crash", [](const std::string& bytes) {
    const auto parsed = ParseAnnouncement(bytes);
    // RC_ASSERT evaluates both sides of an "or".
    if (parsed) {
      RC_ASSERT(parsed.value().slots > 0U);
    }
  });
}

TEST_CASE("ramp: any sequence of results: limit stays within its bounds") {
  rc::prop("1 <= limit <= slots; a reduction goes to cold_slots or below", [] {
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 64);
    const auto cold = *rc::gen::inRange<std::uint32_t>(1, slots + 1);
    admission_ramp ramp(slots, cold);
    time_point now{seconds(1)};
    for (const int choice :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6))) {
      now += milliseconds(10);
      const std::uint32_t before = ramp.limit();
      const ramp_epoch old(ramp.epoch().value() - 1);
      if (choice <= 2) {
        ramp.OnSuccess(ramp.epoch());
        RC_ASSERT(ramp.limit() <= 2 * before);
      } else if (choice == 3) {
        ramp.OnFailure(ramp.epoch(), now);
        RC_ASSERT(ramp.limit() <= cold);
      } else if (choice == 4) {
        ramp.OnFailure(old, now);
        ramp.OnSuccess(old);
        RC_ASSERT(ramp.limit() == before);
      } else {
        ramp.Reset();
        RC_ASSERT(ramp.limit() == cold);
      }
      RC_ASSERT(ramp.limit() >= 1U);
      RC_ASSERT(ramp.limit() <= slots);
    }
  });
}

TEST_CASE("ramp: first output latency jumps: limit drops to cold slots") {
  admission_ramp ramp(16, 2);
  for (int i = 0; i < 30; ++i) {
    ramp.OnFirstOutput(ramp.epoch(), milliseconds(40));
    ramp.OnSuccess(ramp.epoch());
  }
  REQUIRE(ramp.limit() == 16);
  CHECK(!ramp.OnFirstOutput(ramp.epoch(), milliseconds(200)));
  CHECK(ramp.OnFirstOutput(ramp.epoch(), milliseconds(900)));
  CHECK(ramp.limit() == 2);
}

TEST_CASE("ramp: consecutive failures: admission pauses") {
  admission_ramp ramp(16, 2);
  const time_point now{seconds(1)};
  ramp.OnFailure(ramp.epoch(), now);
  CHECK(ramp.paused_until() <= now);
  ramp.OnFailure(ramp.epoch(), now);
  CHECK(ramp.paused_until() > now);
}

struct directory_fixture {
  seeded_random random{3};
  target_directory directory{{.local_data_centre = data_centre_id("cheras")},
                             random};
  time_point now{seconds(1000)};
  const pool_id pool{"lamp-llm"};

  announcement Make(const std::string& name,
                    std::uint64_t life,
                    std::uint64_t at_ms,
                    target_state state,
                    const std::string& data_centre = "cheras") {
    return {.target = target_id(name),
            .life = incarnation(life),
            .data_centre = data_centre_id(data_centre),
            .address = {.port = 9},
            .pools = {pool},
            .state = state,
            .slots = 4,
            .cold_slots = 2,
            .load = load_report{.at_ms = at_ms}};
  }
};

TEST_CASE_METHOD(directory_fixture,
                 "directory: late ready report after leaving: ignored") {
  directory.Announce(Make("t", 1, 10, target_state::kLeaving), now);
  CHECK(directory.Announce(Make("t", 1, 9, target_state::kReady), now) ==
        announce_result::kStale);
  CHECK(!directory.Choose(pool, {}, now));
}

TEST_CASE_METHOD(directory_fixture,
                 "directory: report of a previous incarnation: ignored") {
  directory.Announce(Make("t", 2, 1, target_state::kReady), now);
  CHECK(directory.Announce(Make("t", 1, 99, target_state::kLeaving), now) ==
        announce_result::kStale);
  CHECK(directory.Choose(pool, {}, now).has_value());
}

TEST_CASE_METHOD(
    directory_fixture,
    "directory: free slots in the local data centre: selected first") {
  directory.Announce(Make("far", 1, 1, target_state::kReady, "petaling"), now);
  directory.Announce(Make("near", 1, 1, target_state::kReady), now);
  CHECK(directory.Choose(pool, {}, now)->grant.target == target_id("near"));
  CHECK(directory.Choose(pool, {}, now)->grant.target == target_id("near"));
  CHECK(directory.Choose(pool, {}, now)->grant.target == target_id("far"));
}

TEST_CASE_METHOD(directory_fixture,
                 "directory: excluded target: not selected while another is "
                 "usable, even if that one is full") {
  directory.Announce(Make("a", 1, 1, target_state::kReady), now);
  directory.Announce(Make("b", 1, 1, target_state::kReady), now);
  directory.Choose(pool, {target_id("a")}, now);
  directory.Choose(pool, {target_id("a")}, now);
  CHECK(!directory.Choose(pool, {target_id("a")}, now));
}

TEST_CASE_METHOD(directory_fixture,
                 "directory: silent beyond retention: removed") {
  directory.Announce(Make("t", 1, 1, target_state::kReady), now);
  while (directory.next_deadline() < kNever) {
    now = directory.next_deadline();
    directory.CollectSilent(now);
  }
  CHECK(directory.View(now).empty());
}

TEST_CASE(
    "directory: any announcements and releases: grants stay within "
    "the slots of each incarnation") {
  rc::prop("in flight <= slots of the incarnation", [] {
    directory_fixture fixture;
    std::vector<slot_grant> grants;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 40)));
    for (const auto& [choice, detail] : steps) {
      fixture.now += milliseconds(detail);
      if (choice == 0) {
        fixture.directory.Announce(
            fixture.Make("t" + std::to_string(detail % 3),
                         static_cast<std::uint64_t>(1 + detail / 13),
                         static_cast<std::uint64_t>(detail),
                         detail % 11 == 0 ? target_state::kLeaving
                                          : target_state::kReady),
            fixture.now);
      } else if (choice <= 3) {
        if (auto choice =
                fixture.directory.Choose(fixture.pool, {}, fixture.now)) {
          grants.push_back(choice->grant);
        }
      } else if (!grants.empty()) {
        const slot_grant grant = grants.back();
        grants.pop_back();
        if (choice == 4) {
          fixture.directory.ReleaseSucceeded(grant);
        } else {
          fixture.directory.ReleaseFailed(grant, fixture.now);
        }
      }
      for (const target_view& view : fixture.directory.View(fixture.now)) {
        const auto held = std::count_if(
            grants.begin(), grants.end(), [&](const slot_grant& grant) {
              return grant.target == view.announced.target &&
                     grant.life == view.announced.life;
            });
        RC_ASSERT(held == view.in_flight);
        RC_ASSERT(view.in_flight <= view.announced.slots);
      }
    }
  });
}

}  // namespace
}  // namespace burdocklock::targets
