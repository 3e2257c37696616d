// What a router makes of targets that end while they run a request.
#include <chrono>
#include <cstdint>

#include <catch2/catch.hpp>

#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

using refusals::run_state;
using std::chrono::seconds;

TEST_CASE_METHOD(router_fixture,
                 "targets end right after a prompt's first output, noticed "
                 "after a suspension: its part is blocked") {
  for (const char* name : {"a", "b", "c"}) {
    Announce(Target(name));
  }
  for (std::uint64_t own = 1; own <= 3; ++own) {
    request_spec spec{.id = request_seq(++last_request),
                      .customer = customer_id("c1"),
                      .pool = pool_id("lamp-llm"),
                      .prompt_tokens = 20};
    spec.prompt = targets::prompt{
        .input_tokens = 20,
        .parts = {{.id = 9, .tokens = 10}, {.id = 100 + own, .tokens = 10}}};
    effects out;
    router.OnRequest(spec, now, out);
    Record(out);
    REQUIRE(running.contains(spec.id));
    Report(spec.id, attempt_sending{});
    Report(spec.id, attempt_first_output{});
    now += seconds(2);
    Report(spec.id, attempt_failed{.kind = failure_kind::kBroken,
                                   .sent = true,
                                   .delivered = true,
                                   .target_ended = true});
  }
  now += seconds(1);
  effects out;
  router.OnTick(now, out);
  CHECK(router.guard().BlockedCount(now) == 1);
}

TEST_CASE_METHOD(router_fixture,
                 "request without a prompt was at two targets when they ended: "
                 "it is not sent to a third one") {
  for (const char* name : {"a", "b", "c"}) {
    Announce(Target(name));
  }
  const request_seq id = Request("c1");
  for (int ended = 0; ended < 2; ++ended) {
    REQUIRE(running.contains(id));
    Report(id, attempt_sending{});
    Report(id, attempt_failed{.kind = failure_kind::kBroken,
                              .sent = true,
                              .target_ended = true});
  }
  CHECK_FALSE(running.contains(id));
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].run == run_state::kUnknown);
}

struct repeated_call_fixture : router_fixture {
  request_seq Repeat() {
    const request_seq id(++last_request);
    request_spec spec{.id = id,
                      .customer = customer_id("c1"),
                      .pool = pool_id("lamp-llm"),
                      .kind = call_kind::kServiceCall};
    spec.fingerprint = request_fingerprint(9);
    effects out;
    router.OnRequest(spec, now, out);
    Record(out);
    return id;
  }
  void EndTarget(request_seq id) {
    REQUIRE(running.contains(id));
    Report(id, attempt_sending{});
    Report(id, attempt_failed{.kind = failure_kind::kBroken,
                              .sent = true,
                              .target_ended = true});
  }
  void Pass(duration time) {
    now += time;
    effects out;
    router.OnTick(now, out);
    Record(out);
  }
};

TEST_CASE_METHOD(repeated_call_fixture,
                 "request repeated whole ended a target before: it is not sent "
                 "to a second one") {
  for (const char* name : {"a", "b", "c"}) {
    Announce(Target(name));
  }
  const request_seq first = Repeat();
  EndTarget(first);
  REQUIRE(running.contains(first));
  const request_seq again = Repeat();
  EndTarget(again);
  CHECK_FALSE(running.contains(again));
}

TEST_CASE_METHOD(repeated_call_fixture,
                 "request repeated whole ended three targets: it is refused as "
                 "not run") {
  router.mutable_guard().SetContact(true, now);
  for (const char* name : {"a", "b", "c", "d"}) {
    Announce(Target(name));
  }
  const request_seq first = Repeat();
  EndTarget(first);
  EndTarget(first);
  EndTarget(Repeat());
  Pass(seconds(1));
  refusals.clear();
  const request_seq id = Repeat();
  CHECK_FALSE(running.contains(id));
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].reason == refusals::refusal_reason::kRequestBlocked);
  CHECK(refusals[0].run == run_state::kNotRun);
  CHECK(refusals[0].retry_after.has_value());
}

}  // namespace
}  // namespace burdocklock::routing
