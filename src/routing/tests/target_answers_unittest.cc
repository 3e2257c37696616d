// What a router makes of answers whose targets leave or ask for a pause.
#include <chrono>
#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

using refusals::refusal_reason;
using refusals::run_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct answers_fixture : router_fixture {
  std::uint64_t at_ms = 1;

  void AnnounceReady(const std::string& name, std::uint64_t life = 1) {
    Announce(Target(name, life, ++at_ms));
  }
  void AnnounceWarm(const std::string& name, std::uint64_t life = 1) {
    targets::announcement warm = Target(name, life, ++at_ms);
    warm.cold_slots = warm.slots;
    Announce(warm);
  }
  answer_head Head(bool leaving, std::optional<duration> pause = {}) const {
    return {.received = now, .leaving = leaving, .pause = pause};
  }
  request_seq RequestOf(call_kind kind, duration limit, duration objective) {
    const request_seq id(++last_request);
    effects out;
    router.OnRequest({.id = id,
                      .customer = customer_id("c"),
                      .pool = pool_id("lamp-llm"),
                      .kind = kind,
                      .time_limit = limit,
                      .latency_objective = objective,
                      .resumable = true},
                     now, out);
    Record(out);
    return id;
  }
  // Sends the request on its way and answers it.
  void Begin(request_seq id, const answer_head& head) {
    Report(id, attempt_sending{});
    Report(id, attempt_first_output{.head = head});
  }
  void RefuseAdmission(request_seq id, const answer_head& head) {
    Report(id, attempt_sending{});
    Report(id,
           attempt_failed{
               .kind = failure_kind::kNotAdmitted, .sent = true, .head = head});
  }
  target_id TargetOf(request_seq id) const {
    return running.contains(id) ? running.at(id).target : target_id();
  }
  // Brings all of the targets' slots into use.
  void FillUp() {
    const std::size_t before = end_counts.size();
    while (running.contains(Request("filler"))) {
    }
    REQUIRE(end_counts.size() == before);
  }
  // One target of two asked for a pause.
  void PauseOne(const std::string& name, duration pause) {
    AnnounceReady(name);
    const request_seq id = Request("c", false);
    REQUIRE(TargetOf(id) == target_id(name));
    Report(id, attempt_sending{});
    Report(id, attempt_first_output{.head = Head(false, pause)});
    Report(id, attempt_completed{});
  }
};

TEST_CASE_METHOD(answers_fixture,
                 "target leaves, as an answer says: new requests, retries and "
                 "resumed streams go elsewhere") {
  AnnounceWarm("a");
  const request_seq told = Request("c");
  const request_seq stream =
      RequestOf(call_kind::kStreamedGeneration, seconds(9), seconds(1));
  Begin(stream, Head(false));
  Report(told, attempt_sending{});
  SECTION("before its output") {
    Report(told, attempt_head_read{.head = Head(true)});
  }
  SECTION("with its output") {
    Report(told, attempt_first_output{.head = Head(true)});
  }
  AnnounceWarm("a");
  AnnounceWarm("b");
  Report(stream,
         attempt_failed{
             .kind = failure_kind::kBroken, .sent = true, .delivered = true});
  CHECK(TargetOf(stream) == target_id("b"));
  for (int i = 0; i < 4; ++i) {
    CHECK(TargetOf(Request("c")) == target_id("b"));
  }
  Fail(told, failure_kind::kBroken);
  CHECK(TargetOf(told) == target_id("b"));
  AnnounceWarm("a", 2);
  CHECK(TargetOf(Request("c")) == target_id("a"));
}

TEST_CASE_METHOD(answers_fixture,
                 "target leaves, as a failure's answer says: no new requests") {
  const failure_kind kind =
      GENERATE(failure_kind::kNotAdmitted, failure_kind::kTargetError,
               failure_kind::kCancelled, failure_kind::kBroken);
  AnnounceWarm("a");
  const request_seq id = Request("c");
  AnnounceWarm("b");
  Report(id, attempt_sending{});
  Report(id, attempt_failed{.kind = kind, .sent = true, .head = Head(true)});
  AnnounceWarm("a");
  for (int i = 0; i < 6; ++i) {
    CHECK(TargetOf(Request("c")) == target_id("b"));
  }
}

TEST_CASE_METHOD(answers_fixture,
                 "only target leaves, as an answer says: what waits is refused "
                 "at once as not run") {
  AnnounceReady("a");
  const request_seq told = Request("c");
  FillUp();
  const std::size_t waiting = router.totals().waiting;
  REQUIRE(waiting > 0);
  Begin(told, Head(true));
  CHECK(router.totals().waiting == 0);
  REQUIRE(refusals.size() == waiting);
  for (const auto& refusal : refusals) {
    CHECK(refusal.reason == refusal_reason::kNoTarget);
    CHECK(refusal.run == run_state::kNotRun);
    CHECK(refusal.retry_after.has_value());
  }
  Request("c");
  CHECK(refusals.size() == waiting + 1);
}

TEST_CASE_METHOD(answers_fixture,
                 "all targets announce that they leave: what waits is refused "
                 "at once as not run") {
  AnnounceReady("a");
  FillUp();
  auto leaving = Target("a", 1, 99);
  leaving.state = targets::target_state::kLeaving;
  Announce(leaving);
  REQUIRE_FALSE(refusals.empty());
  CHECK(refusals[0].run == run_state::kNotRun);
  CHECK(router.totals().waiting == 0);
}

TEST_CASE_METHOD(answers_fixture,
                 "target said that it leaves and ends within a request: the "
                 "request is not blamed") {
  for (const char* name : {"a", "b", "c", "d"}) {
    AnnounceReady(name);
  }
  const request_seq id = Request("c");
  for (int ended = 0; ended < 3; ++ended) {
    REQUIRE(running.contains(id));
    Report(id, attempt_sending{});
    Report(id, attempt_failed{.kind = failure_kind::kBroken,
                              .sent = true,
                              .head = Head(true),
                              .target_ended = true});
  }
  CHECK(router.totals().retries_withheld == 0);
}

TEST_CASE_METHOD(answers_fixture,
                 "target asks for a pause: requests go elsewhere until its "
                 "end, then its ramp begins anew") {
  PauseOne("a", seconds(2));
  AnnounceReady("b");
  for (int i = 0; i < 8; ++i) {
    CHECK(TargetOf(Request("c")) != target_id("a"));
  }
  Advance(seconds(2) - milliseconds(1));
  CHECK(held_slots[target_id("a")] == 0);
  const std::size_t waiting = router.totals().waiting;
  REQUIRE(waiting > 2);
  Advance(milliseconds(1));
  CHECK(held_slots[target_id("a")] > 0);
  CHECK(held_slots[target_id("a")] <= 2);
}

TEST_CASE_METHOD(answers_fixture,
                 "target refuses many requests at once and asks for a pause: "
                 "none is sent there until its end") {
  AnnounceReady("a");
  std::vector<request_seq> sent;
  for (request_seq id = Request("c"); running.contains(id); id = Request("c")) {
    sent.push_back(id);
  }
  REQUIRE(sent.size() > 1);
  AnnounceReady("b");
  for (const request_seq id : sent) {
    RefuseAdmission(id, Head(false, seconds(3)));
  }
  for (int i = 0; i < 4; ++i) {
    Request("d" + std::to_string(i));
  }
  REQUIRE(router.totals().waiting > 0);
  CHECK(held_slots[target_id("a")] == 0);
  Advance(seconds(3) - milliseconds(1));
  CHECK(held_slots[target_id("a")] == 0);
}

TEST_CASE_METHOD(answers_fixture,
                 "only target asks for a pause that a request can await: it is "
                 "sent at the end of it") {
  PauseOne("a", milliseconds(800));
  const request_seq id =
      RequestOf(call_kind::kServiceCall, seconds(10), seconds(2));
  Advance(milliseconds(799));
  CHECK_FALSE(running.contains(id));
  CHECK(refusals.empty());
  Advance(milliseconds(1));
  CHECK(running.contains(id));
}

TEST_CASE_METHOD(answers_fixture,
                 "all targets ask for pauses that a request cannot await: it "
                 "is refused at once, to come back at the first end") {
  PauseOne("a", seconds(40));
  const request_seq paused = Request("c", false);
  AnnounceReady("b");
  const request_seq id = Request("c", false);
  REQUIRE(TargetOf(id) == target_id("b"));
  refusals.clear();
  RefuseAdmission(id, Head(false, seconds(20)));
  Advance(seconds(1));
  const request_seq late =
      RequestOf(call_kind::kServiceCall, seconds(60), seconds(2));
  CHECK_FALSE(running.contains(late));
  CHECK(end_counts[late] == 1);
  REQUIRE_FALSE(refusals.empty());
  for (const auto& refusal : refusals) {
    CHECK(refusal.reason == refusal_reason::kNoTarget);
    CHECK(refusal.run == run_state::kNotRun);
    REQUIRE(refusal.retry_after.has_value());
    CHECK(*refusal.retry_after >= seconds(19));
    CHECK(*refusal.retry_after < seconds(22));
  }
  CHECK(end_counts[paused] == 1);
}

TEST_CASE_METHOD(answers_fixture,
                 "only target asks for a longer pause while a request awaits "
                 "the end: it is refused at once") {
  AnnounceReady("a");
  const request_seq first = Request("c", false);
  const request_seq second = Request("c", false);
  RefuseAdmission(first, Head(false, milliseconds(500)));
  const request_seq waits =
      RequestOf(call_kind::kServiceCall, seconds(60), seconds(2));
  CHECK(end_counts[waits] == 0);
  RefuseAdmission(second, Head(false, seconds(30)));
  CHECK(end_counts[waits] == 1);
}

TEST_CASE_METHOD(answers_fixture,
                 "stream broke and the only target asks for a pause: it goes "
                 "on at the end of it") {
  AnnounceReady("a");
  const request_seq stream =
      RequestOf(call_kind::kStreamedGeneration, seconds(60), seconds(1));
  const request_seq other = Request("c", false);
  Begin(stream, Head(false));
  RefuseAdmission(other, Head(false, seconds(5)));
  Report(stream,
         attempt_failed{
             .kind = failure_kind::kBroken, .sent = true, .delivered = true});
  CHECK(end_counts[stream] == 0);
  CHECK_FALSE(running.contains(stream));
  Advance(seconds(5));
  CHECK(TargetOf(stream) == target_id("a"));
}

}  // namespace
}  // namespace burdocklock::routing
