// What a router makes of answers whose targets leave.
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
  answer_head Head(bool leaving) const {
    return {.received = now, .leaving = leaving};
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

}  // namespace
}  // namespace burdocklock::routing
