// Streams go on only at the software version that began them.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct stream_fixture : router_fixture {
  void AnnounceVersion(
      const std::string& name,
      const std::string& version,
      targets::target_state state = targets::target_state::kReady,
      std::uint64_t life = 1,
      duration age = duration::zero()) {
    targets::announcement announcement = Target(name, life, ++at_ms);
    announcement.version = software_version(version);
    announcement.state = state;
    announcement.cold_slots = announcement.slots;
    Announce(announcement, age);
  }
  // A control host passes on what it has received some time ago.
  void PassOn(const std::string& name,
              const std::string& version,
              duration age) {
    AnnounceVersion(name, version, targets::target_state::kReady, 1, age);
  }
  request_spec StreamSpec() {
    return {.id = request_seq(++last_request),
            .customer = customer_id("c1"),
            .pool = pool_id("lamp-llm"),
            .kind = call_kind::kStreamedGeneration,
            .prompt_tokens = 10,
            .resumable = true};
  }
  void Submit(const request_spec& spec) {
    effects out;
    router.OnRequest(spec, now, out);
    Record(out);
  }
  // A stream that has delivered part of its answer.
  request_seq BeginStream() {
    const request_spec spec = StreamSpec();
    Submit(spec);
    REQUIRE(running.contains(spec.id));
    Deliver(spec.id);
    return spec.id;
  }
  void Deliver(request_seq id) {
    Report(id, attempt_sending{});
    Report(id, attempt_first_output{});
    running.at(id).delivered = true;
  }
  // "a1", where a stream has begun, leaves; "a2" of its version has no room.
  request_seq FillOnlyOther() {
    AnnounceVersion("a1", "v1", targets::target_state::kLeaving);
    targets::announcement full = Target("a2", 1, ++at_ms);
    full.version = software_version("v1");
    full.slots = full.cold_slots = 1;
    Announce(full);
    const request_seq other = BeginStream();
    REQUIRE(running.at(other).target == target_id("a2"));
    return other;
  }
  [[nodiscard]] bool Runs(request_seq id) const { return running.contains(id); }
  [[nodiscard]] std::uint32_t InFlightAt(const std::string& target) const {
    for (const targets::target_view& view : router.directory().View(now)) {
      if (view.announced.target == target_id(target)) {
        return view.in_flight;
      }
    }
    return 0;
  }

  std::uint64_t at_ms = 1;
};

TEST_CASE_METHOD(stream_fixture,
                 "stream breaks off while two software versions serve: it goes "
                 "on only at the version that began it") {
  AnnounceVersion("a1", "v1");
  int went_on = 0;
  for (int began = 0; began < 20; ++began) {
    const request_seq id = BeginStream();
    if (began == 0) {
      AnnounceVersion("a2", "v1");
      for (const char* name : {"b1", "b2", "b3", "b4"}) {
        AnnounceVersion(name, "v2");
      }
    }
    const char version = running.at(id).target.value()[0];
    Fail(id, failure_kind::kBroken);
    if (Runs(id)) {
      ++went_on;
      CHECK(running.at(id).target.value()[0] == version);
      Report(id, attempt_completed{});
    }
    now += seconds(20);
    for (const char* name : {"a1", "a2"}) {
      AnnounceVersion(name, "v1");
    }
    for (const char* name : {"b1", "b2", "b3", "b4"}) {
      AnnounceVersion(name, "v2");
    }
  }
  // Each version has other targets all the while.
  CHECK(went_on == 20);
}

TEST_CASE_METHOD(stream_fixture,
                 "stream breaks off, its software version is gone: it ends "
                 "where it is at once") {
  AnnounceVersion("a", "v1");
  const request_seq id = BeginStream();
  AnnounceVersion("b", "v2");
  AnnounceVersion("a", "v1", targets::target_state::kLeaving);
  Fail(id, failure_kind::kBroken);
  CHECK_FALSE(Runs(id));
  CHECK(end_counts[id] == 1);
}

TEST_CASE_METHOD(stream_fixture,
                 "stream waits to go on and its software version leaves: it "
                 "ends where it is at once") {
  AnnounceVersion("a1", "v1");
  const request_seq id = BeginStream();
  FillOnlyOther();
  AnnounceVersion("b", "v2");
  Fail(id, failure_kind::kBroken);
  CHECK_FALSE(Runs(id));
  CHECK(end_counts[id] == 0);
  AnnounceVersion("a2", "v1", targets::target_state::kLeaving);
  CHECK(end_counts[id] == 1);
}

TEST_CASE_METHOD(stream_fixture,
                 "target is started again under its id at another software "
                 "version: a stream that it began does not go on there") {
  AnnounceVersion("a", "v1");
  const request_seq id = BeginStream();
  const bool same_life = GENERATE(false, true);
  AnnounceVersion("a", "v2", targets::target_state::kReady, same_life ? 1 : 2);
  Fail(id, failure_kind::kBroken);
  CHECK_FALSE(Runs(id));
  CHECK(end_counts[id] == 1);
  // The grant of the target's earlier version is not counted at the later one.
  const request_seq next = BeginStream();
  Report(next, attempt_completed{});
  CHECK(router.directory().View(now).front().in_flight == 0);
}

TEST_CASE_METHOD(
    stream_fixture,
    "streams break off at the only target of a version, which may "
    "have started again at another: they wait for its announcement") {
  AnnounceVersion("a", "v1");
  const request_seq id = BeginStream();
  const request_seq other = BeginStream();
  AnnounceVersion("b", "v2");
  Fail(id, failure_kind::kBroken);
  Fail(other, failure_kind::kBroken);
  CHECK_FALSE(Runs(id));
  CHECK_FALSE(Runs(other));
  now += milliseconds(500);
  SECTION("it is the same") {
    now += seconds(1);
    AnnounceVersion("a", "v1");
    Advance(seconds(4));
    AnnounceVersion("a", "v1");
    CHECK(Runs(id));
    CHECK(Runs(other));
    CHECK(running.at(id).target == target_id("a"));
  }
  SECTION("it is another") {
    AnnounceVersion("a", "v2", targets::target_state::kReady, 2);
    CHECK(end_counts[id] == 1);
    CHECK(end_counts[other] == 1);
  }
}

TEST_CASE_METHOD(
    stream_fixture,
    "stream breaks off, its target's announcement from before comes: it waits "
    "for a later one") {
  AnnounceVersion("a", "v1");
  const request_seq id = BeginStream();
  AnnounceVersion("b", "v2");
  now += milliseconds(100);
  Fail(id, failure_kind::kBroken);
  now += milliseconds(400);
  PassOn("a", "v1", milliseconds(500));
  Advance(milliseconds(500));
  CHECK_FALSE(Runs(id));
  CHECK(end_counts[id] == 0);
  SECTION("it is the same") {
    PassOn("a", "v1", milliseconds(300));
    Advance(seconds(2));
    CHECK(Runs(id));
  }
  SECTION("it is another") {
    AnnounceVersion("a", "v2");
    CHECK(end_counts[id] == 1);
    CHECK_FALSE(Runs(id));
  }
}

TEST_CASE_METHOD(stream_fixture,
                 "stream ends before its first event while two software "
                 "versions serve: it may begin at the other") {
  AnnounceVersion("a", "v1");
  const request_spec spec = StreamSpec();
  Submit(spec);
  AnnounceVersion("b", "v2");
  Report(spec.id, attempt_sending{});
  Fail(spec.id, failure_kind::kBroken);
  REQUIRE(Runs(spec.id));
  CHECK(running.at(spec.id).target == target_id("b"));
}

TEST_CASE_METHOD(stream_fixture,
                 "stream is cancelled for silence as its first event arrives: "
                 "it goes on at that version, not where room was reserved") {
  AnnounceVersion("a", "v1");
  request_spec spec = StreamSpec();
  spec.time_limit = seconds(10);
  spec.max_attempts = 3;
  Submit(spec);
  Report(spec.id, attempt_sending{});
  now += milliseconds(4900);
  AnnounceVersion("a", "v1");
  AnnounceVersion("b", "v2");
  Advance(milliseconds(200));
  REQUIRE(running.at(spec.id).cancelled);
  Report(spec.id, attempt_first_output{});
  running.at(spec.id).delivered = true;
  Fail(spec.id, failure_kind::kCancelled);
  if (Runs(spec.id)) {
    CHECK(running.at(spec.id).target == target_id("a"));
  }
  CHECK(held_slots[target_id("b")] == 0);
  CHECK(InFlightAt("b") == 0);
}

TEST_CASE_METHOD(stream_fixture,
                 "stream breaks off and the last target of its version refuses "
                 "a connection: it waits until that is known to be gone") {
  AnnounceVersion("a", "v1");
  const request_seq id = BeginStream();
  AnnounceVersion("b", "v2");
  const running_attempt& attempt = running.at(id);
  Report(id,
         attempt_failed{
             .sent = attempt.sent, .delivered = true, .target_ended = true});
  CHECK(end_counts[id] == 0);
  SECTION("it announces itself again") {
    Advance(seconds(1));
    AnnounceVersion("a", "v1");
    // Targets that have failed are left alone for a moment.
    Advance(seconds(2));
    REQUIRE(Runs(id));
    CHECK(running.at(id).target == target_id("a"));
  }
  SECTION("what it announced before is passed on") {
    now += milliseconds(400);
    PassOn("a", "v1", milliseconds(450));
    Advance(milliseconds(1900));
    CHECK(end_counts[id] == 0);
    Advance(milliseconds(1700));
    CHECK(end_counts[id] == 1);
    CHECK_FALSE(Runs(id));
  }
  SECTION("it is not heard of again") {
    Advance(seconds(4));
    CHECK(end_counts[id] == 1);
    CHECK_FALSE(Runs(id));
  }
}

TEST_CASE_METHOD(
    stream_fixture,
    "stream breaks off and its version has no room for seconds: it "
    "waits longer than a new request would") {
  AnnounceVersion("a1", "v1");
  request_spec spec = StreamSpec();
  spec.time_limit = seconds(8);
  spec.latency_objective = milliseconds(300);
  spec.prompt =
      targets::prompt{.input_tokens = 10, .parts = {{.id = 1, .tokens = 10}}};
  Submit(spec);
  REQUIRE(Runs(spec.id));
  Deliver(spec.id);
  const request_seq other = FillOnlyOther();
  Fail(spec.id, failure_kind::kBroken);
  Advance(seconds(3));
  CHECK(end_counts[spec.id] == 0);
  Report(other, attempt_completed{});
  REQUIRE(Runs(spec.id));
  CHECK(running.at(spec.id).target == target_id("a2"));
}

TEST_CASE_METHOD(stream_fixture,
                 "stream waits for room at its version and the router is "
                 "suspended: it waits on until the version is heard of again") {
  AnnounceVersion("a1", "v1");
  const request_seq id = BeginStream();
  const request_seq other = FillOnlyOther();
  AnnounceVersion("b", "v2");
  Fail(id, failure_kind::kBroken);
  REQUIRE(end_counts[id] == 0);
  const duration time = Options().directory.silence + seconds(2);
  now += time;
  router.OnSuspended(time, now);
  effects out;
  router.OnTick(now, out);
  Record(out);
  CHECK(end_counts[id] == 0);
  CHECK(router.directory().IsUsable(target_id("b"), now));
  AnnounceVersion("a2", "v1");
  Report(other, attempt_completed{});
  REQUIRE(Runs(id));
  CHECK(running.at(id).target == target_id("a2"));
}

TEST_CASE_METHOD(stream_fixture,
                 "many streams wait for room at their version: an event seeks "
                 "a target for a few of them only") {
  constexpr int kStreams = 60;
  targets::announcement full = Target("a", 1, ++at_ms);
  full.version = software_version("v1");
  full.slots = full.cold_slots = kStreams;
  Announce(full);
  std::vector<request_seq> streams;
  for (int i = 0; i < kStreams; ++i) {
    streams.push_back(BeginStream());
  }
  targets::announcement small = Target("a2", 1, ++at_ms);
  small.version = software_version("v1");
  small.slots = small.cold_slots = 1;
  Announce(small);
  BeginStream();
  full.state = targets::target_state::kLeaving;
  full.load = targets::load_report{.at_ms = ++at_ms};
  Announce(full);
  for (const request_seq id : streams) {
    Fail(id, failure_kind::kBroken);
  }
  REQUIRE(router.totals().waiting > kStreams / 2);
  const std::uint64_t before = router.totals().target_searches;
  AnnounceVersion("b", "v2");
  CHECK(router.totals().target_searches - before < 10);
}

}  // namespace
}  // namespace burdocklock::routing
