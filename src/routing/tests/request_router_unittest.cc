// Tests of request_router, partly over random events, with simulated attempts.
#include "routing/request_router.h"

#include <algorithm>
#include <map>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

using refusals::refusal_reason;
using refusals::run_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE_METHOD(router_fixture,
                 "router: cold target: gets no more than its cold slots") {
  Announce(Target("t1"));
  for (int i = 0; i < 6; ++i) {
    Request("depot");
  }
  CHECK(running.size() == 2);
  CHECK(router.totals().waiting == 4);
}

TEST_CASE_METHOD(router_fixture,
                 "router: good answers: admission doubles up to the slots") {
  Announce(Target("t1"));
  for (int i = 0; i < 40; ++i) {
    Request("depot");
  }
  for (int i = 0; i < 6; ++i) {
    Report(running.begin()->first, attempt_sending{});
    Report(running.begin()->first, attempt_completed{});
  }
  CHECK(running.size() == 8);
}

TEST_CASE_METHOD(router_fixture,
                 "router: new incarnation: limited to cold slots again") {
  Announce(Target("t1"));
  for (int i = 0; i < 40; ++i) {
    Request("depot");
  }
  for (int i = 0; i < 6; ++i) {
    Report(running.begin()->first, attempt_completed{});
  }
  REQUIRE(running.size() == 8);
  // The old incarnation's requests ended with it, so only the new one's count.
  Announce(Target("t1", 2));
  CHECK(running.size() == 10);
  CHECK(router.directory().RampLimit(target_id("t1")) == 2U);
}

TEST_CASE_METHOD(router_fixture,
                 "router: target leaving: gets no new requests at once") {
  Announce(Target("t1"));
  auto leaving = Target("t1", 1, 2);
  leaving.state = targets::target_state::kLeaving;
  Announce(leaving);
  Announce(Target("t1", 1, 1));
  Request("depot");
  CHECK(running.empty());
}

TEST_CASE_METHOD(router_fixture,
                 "router: target silent: gets no new requests") {
  Announce(Target("t1"));
  Advance(seconds(6));
  Request("depot");
  CHECK(running.empty());
}

TEST_CASE_METHOD(router_fixture,
                 "router: no target: refused as not run with a retry "
                 "time") {
  Request("depot");
  Advance(seconds(6));
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].reason == refusal_reason::kNoTarget);
  CHECK(refusals[0].run == run_state::kNotRun);
  CHECK(refusals[0].retry_after.has_value());
  SECTION("later requests are refused at once") {
    Request("depot");
    CHECK(refusals.size() == 2);
  }
}

TEST_CASE_METHOD(router_fixture,
                 "router: customer floods: only its own requests are refused") {
  Announce(Target("t1"));
  for (int i = 0; i < 200; ++i) {
    Request("flooder");
  }
  const std::size_t refused = refusals.size();
  Request("depot");
  CHECK(refused > 0);
  CHECK(refusals.size() == refused);
  for (const auto& refusal : refusals) {
    CHECK(refusal.customer == customer_id("flooder"));
    CHECK(refusal.reason == refusal_reason::kQueueFull);
  }
}

TEST_CASE_METHOD(router_fixture,
                 "router: a prompt too long for busy targets waits: shorter "
                 "ones of its customer pass it") {
  constexpr std::uint32_t kLong = 1'000'000;
  Announce(Target("t1"));
  const request_seq running_before = RequestPrompt("other", 10);
  REQUIRE(running.contains(running_before));
  const request_seq longer = RequestPrompt("depot", kLong);
  const request_seq shorter = RequestPrompt("depot", 10);
  CHECK_FALSE(running.contains(longer));
  CHECK(running.contains(shorter));
  Report(running_before, attempt_sending{});
  Report(running_before, attempt_completed{});
  Report(shorter, attempt_sending{});
  Report(shorter, attempt_completed{});
  CHECK(running.contains(longer));
}

TEST_CASE_METHOD(router_fixture,
                 "router: retry: goes to another target on a new connection") {
  Announce(Target("t1"));
  Announce(Target("t2"));
  const request_seq id = Request("depot");
  const target_id first = running.at(id).target;
  Report(id, attempt_sending{});
  effects out;
  router.OnAttempt(id, running.at(id).attempt,
                   attempt_failed{.kind = failure_kind::kBroken, .sent = true},
                   now, out);
  const auto found =
      std::find_if(out.begin(), out.end(), [](const effect& effect) {
        return std::holds_alternative<start_attempt>(effect);
      });
  REQUIRE(found != out.end());
  CHECK(std::get<start_attempt>(*found).target != first);
  CHECK(std::get<start_attempt>(*found).connection ==
        connection_choice::kNewOnly);
}

TEST_CASE_METHOD(router_fixture,
                 "router: no descriptors for a connection: refused as not run, "
                 "the target stays in use") {
  Announce(Target("t1"));
  const auto limit = router.directory().RampLimit(target_id("t1"));
  Fail(Request("depot"), failure_kind::kNoResources);
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].reason == refusal_reason::kRouterBusy);
  CHECK(refusals[0].run == run_state::kNotRun);
  CHECK(refusals[0].retry_after.has_value());
  CHECK(router.directory().RampLimit(target_id("t1")) == limit);
  CHECK(running.contains(Request("depot")));
}

TEST_CASE_METHOD(router_fixture,
                 "router: a target refuses a connection: not used until it "
                 "announces itself again") {
  Announce(Target("t1"));
  Fail(Request("depot"), failure_kind::kConnectFailed);
  Request("depot");
  CHECK(running.empty());
  Announce(Target("t1", 1, 2));
  CHECK(running.size() == 1);
}

TEST_CASE_METHOD(router_fixture,
                 "router: every target fails: retries stay in the budget") {
  for (int i = 0; i < 4; ++i) {
    Announce(Target("t" + std::to_string(i)));
  }
  std::size_t attempts = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    Request("depot-" + std::to_string(i));
    Advance(milliseconds(10));
    for (int t = 0; t < 4; ++t) {
      Announce(Target("t" + std::to_string(t), 1,
                      static_cast<std::uint64_t>(i) + 2));
    }
    while (!running.empty()) {
      ++attempts;
      Report(running.begin()->first, attempt_sending{});
      Fail(running.begin()->first, failure_kind::kBroken);
    }
  }
  const retry_budget_options budget;
  const double bound =
      budget.burst + kRequests * budget.ratio + 10 * budget.per_second;
  CHECK(static_cast<double>(router.totals().retries) <= bound);
  CHECK(attempts <= kRequests + static_cast<std::size_t>(bound));
}

TEST_CASE_METHOD(router_fixture,
                 "router: data centre out: no new requests there, cold "
                 "on return") {
  Announce(Target("t1"));
  effects out;
  router.SetDataCentreOut(data_centre_id("shah-alam"), true, now, out);
  Request("depot");
  CHECK(running.empty());
  router.SetDataCentreOut(data_centre_id("shah-alam"), false, now, out);
  Record(out);
  CHECK(running.size() == 1);
  CHECK(router.directory().RampLimit(target_id("t1")) == 2);
}

// Applies one random event to the router.
void RandomStep(router_fixture& fixture, int choice, int detail) {
  const auto pick = [&]() -> request_seq {
    auto it = fixture.running.begin();
    std::advance(it, detail % static_cast<int>(fixture.running.size()));
    return it->first;
  };
  const std::string target = "t" + std::to_string(detail % 3);
  if (choice <= 1) {
    fixture.Request("c" + std::to_string(detail % 4), detail % 3 != 0);
  } else if (choice == 2) {
    fixture.Announce(router_fixture::Target(
        target, 1 + static_cast<std::uint64_t>(detail % 7 == 0),
        static_cast<std::uint64_t>(detail)));
  } else if (choice == 3) {
    fixture.Advance(milliseconds(detail));
  } else if (choice == 4 && fixture.last_request > 0) {
    effects out;
    fixture.router.OnCallerLeft(
        request_seq(1 +
                    static_cast<std::uint64_t>(detail) % fixture.last_request),
        fixture.now, out);
    fixture.Record(out);
  } else if (!fixture.running.empty()) {
    const request_seq id = pick();
    router_fixture::running_attempt& attempt = fixture.running.at(id);
    if (!attempt.sent && choice != 9) {
      fixture.Report(id, attempt_sending{});
    } else if (choice == 5) {
      fixture.Report(id, attempt_completed{});
    } else if (choice == 6) {
      attempt.delivered = true;
      fixture.Report(id, attempt_first_output{});
    } else if (choice == 7 && !attempt.delivered) {
      fixture.Fail(id, failure_kind::kNotAdmitted);
    } else {
      fixture.Fail(id, attempt.sent ? failure_kind::kBroken
                                    : failure_kind::kConnectFailed);
    }
  }
}

void CheckInvariants(const router_fixture& fixture) {
  for (const auto& [id, count] : fixture.end_counts) {
    RC_ASSERT(count == 1);
  }
  std::uint64_t expected = 0;
  for (const auto& refusal : fixture.refusals) {
    RC_ASSERT(refusal.id.value() > expected);
    expected = refusal.id.value();
    if (refusal.run == run_state::kNotRun) {
      const auto ran = fixture.run_counts.find(*refusal.request);
      RC_ASSERT((ran == fixture.run_counts.end() ? 0 : ran->second) == 0);
    }
  }
}

TEST_CASE("router: any order of events: one correct outcome per request") {
  rc::prop("router invariants", [] {
    router_fixture fixture;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(1, 3000)));
    for (const auto& [choice, detail] : steps) {
      RandomStep(fixture, choice, detail);
      for (const auto& [target, held_slots] : fixture.held_slots) {
        RC_ASSERT(held_slots <= 16);  // Two incarnations of 8 slots at most.
      }
    }
    effects out;
    fixture.router.AbortAll(refusal_reason::kDraining, fixture.now, out);
    fixture.Record(out);
    while (!fixture.running.empty()) {
      fixture.Fail(fixture.running.begin()->first, failure_kind::kCancelled);
    }
    RC_ASSERT(fixture.end_counts.size() == fixture.last_request);
    RC_ASSERT(fixture.router.totals().waiting == 0);
    RC_ASSERT(fixture.router.totals().in_flight == 0);
    CheckInvariants(fixture);
  });
}

TEST_CASE("router: same events and seed: same effects") {
  rc::prop("deterministic", [] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(1, 3000)));
    router_fixture first;
    router_fixture second;
    for (const auto& [choice, detail] : steps) {
      RandomStep(first, choice, detail);
      RandomStep(second, choice, detail);
    }
    RC_ASSERT(first.end_counts == second.end_counts);
    RC_ASSERT(first.held_slots == second.held_slots);
  });
}

}  // namespace
}  // namespace burdocklock::routing
