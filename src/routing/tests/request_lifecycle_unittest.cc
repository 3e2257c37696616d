// Tests of the state machine of one request.
#include "routing/request_lifecycle.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct lifecycle_fixture {
  request_spec spec{.id = request_seq(1),
                    .customer = customer_id("depot"),
                    .pool = pool_id("lamp-llm")};
  lifecycle_options options;
  time_point now{seconds(1000)};

  request_lifecycle Make(bool repeatable = true) {
    spec.repeatable = repeatable;
    return request_lifecycle(spec, options, now);
  }
  static attempt_failed Failure(failure_kind kind,
                                bool sent,
                                bool delivered = false) {
    return {.kind = kind, .sent = sent, .delivered = delivered};
  }
  static const outcome_refused* Refused(const lifecycle_step& step) {
    const auto* end = std::get_if<step_end>(&step);
    return end == nullptr ? nullptr
                          : std::get_if<outcome_refused>(&end->result);
  }
};

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: connect fails, not repeatable: retried") {
  auto lifecycle = Make(/*repeatable=*/false);
  lifecycle.Dispatch(now);
  const auto step = lifecycle.OnAttempt(
      Failure(failure_kind::kConnectFailed, false), true, now);
  CHECK(std::holds_alternative<step_retry>(step));
  CHECK(lifecycle.waiting());
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: broken after sending, not repeatable: "
                 "refused as unknown") {
  auto lifecycle = Make(/*repeatable=*/false);
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  const auto step =
      lifecycle.OnAttempt(Failure(failure_kind::kBroken, true), true, now);
  REQUIRE(Refused(step) != nullptr);
  CHECK(Refused(step)->run == refusals::run_state::kUnknown);
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: target refused admission, not repeatable: "
                 "retried, then refused as not run") {
  auto lifecycle = Make(/*repeatable=*/false);
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  CHECK(std::holds_alternative<step_retry>(lifecycle.OnAttempt(
      Failure(failure_kind::kNotAdmitted, true), true, now)));
  now += options.queue_timeout;
  const auto step = lifecycle.OnDeadline(now);
  REQUIRE(Refused(step) != nullptr);
  CHECK(Refused(step)->reason == refusals::refusal_reason::kQueueTimeout);
  CHECK(Refused(step)->run == refusals::run_state::kNotRun);
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: no first token in time: cancelled, then retried") {
  auto lifecycle = Make();
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  CHECK(lifecycle.deadline() == now + options.first_token_timeout);
  now = lifecycle.deadline();
  CHECK(std::holds_alternative<step_cancel_attempt>(lifecycle.OnDeadline(now)));
  CHECK(std::holds_alternative<step_retry>(
      lifecycle.OnAttempt(Failure(failure_kind::kCancelled, true), true, now)));
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: progress on a stream: moves the deadline") {
  auto lifecycle = Make();
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  lifecycle.OnAttempt(attempt_first_output{}, true, now);
  now += milliseconds(4000);
  lifecycle.OnAttempt(attempt_progress{.tokens = 3}, true, now);
  CHECK(lifecycle.deadline() == now + options.between_tokens_timeout);
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: broken after delivery: cut, never retried") {
  auto lifecycle = Make();
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  lifecycle.OnAttempt(attempt_first_output{}, true, now);
  const auto step = lifecycle.OnAttempt(
      Failure(failure_kind::kBroken, true, true), true, now);
  const auto* end = std::get_if<step_end>(&step);
  REQUIRE(end != nullptr);
  CHECK(std::holds_alternative<outcome_cut>(end->result));
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: total time exceeded: cancelled without retry") {
  auto lifecycle = Make();
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  now += options.total_timeout;
  CHECK(std::holds_alternative<step_cancel_attempt>(lifecycle.OnDeadline(now)));
  const auto step =
      lifecycle.OnAttempt(Failure(failure_kind::kCancelled, true), true, now);
  REQUIRE(Refused(step) != nullptr);
  CHECK(Refused(step)->reason == refusals::refusal_reason::kDeadline);
}

// Drives one lifecycle with random events and records what a target would have
// observed.
class random_lifecycle {
 public:
  explicit random_lifecycle(bool repeatable)
      : repeatable_(repeatable),
        lifecycle_({.id = request_seq(1), .repeatable = repeatable},
                   {},
                   time_point(seconds(1000))) {}

  void Step(int choice, bool retry_allowed, int advance_ms) {
    now_ += milliseconds(advance_ms);
    if (lifecycle_.waiting()) {
      StepWaiting(choice);
    } else if (lifecycle_.attempt_running()) {
      StepRunning(choice, retry_allowed);
    } else {
      Apply(lifecycle_.OnDeadline(now_));
      Apply(lifecycle_.OnCallerLeft());
    }
  }

  // Ends the request in any state, as a shutdown does.
  void Finish() {
    Apply(lifecycle_.Abort(refusals::refusal_reason::kDraining));
    if (lifecycle_.attempt_running()) {
      Fail(failure_kind::kCancelled, false);
    }
  }

  void Check() const {
    RC_ASSERT(end_count_ == 1);
    RC_ASSERT(lifecycle_.ended());
    RC_ASSERT(!(reported_not_run_ && may_have_run_));
    RC_ASSERT(repeatable_ || run_count_ <= 1);
    RC_ASSERT(!retried_after_delivery_);
  }

 private:
  void StepWaiting(int choice) {
    if (choice == 0) {
      Apply(lifecycle_.OnCallerLeft());
    } else if (choice == 1) {
      Apply(lifecycle_.OnDeadline(now_));
    } else if (!lifecycle_.ended()) {
      lifecycle_.Dispatch(now_);
      sent_ = false;
    }
  }

  void StepRunning(int choice, bool retry_allowed) {
    switch (choice) {
      case 0:
        Apply(lifecycle_.OnCallerLeft());
        return;
      case 1:
        Apply(lifecycle_.OnDeadline(now_));
        return;
      case 2:
        sent_ = true;
        Apply(lifecycle_.OnAttempt(attempt_sending{}, false, now_));
        return;
      case 3:
        if (sent_) {
          delivered_ = true;
          Apply(lifecycle_.OnAttempt(attempt_first_output{}, false, now_));
        }
        return;
      case 4:
        if (sent_) {
          may_have_run_ = true;
          ++run_count_;
          Apply(lifecycle_.OnAttempt(attempt_completed{}, false, now_));
        }
        return;
      case 5:
        Fail(sent_ ? failure_kind::kNotAdmitted : failure_kind::kConnectFailed,
             retry_allowed);
        return;
      case 6:
        Fail(failure_kind::kCallerLost, retry_allowed);
        return;
      default:
        Fail(sent_ ? failure_kind::kBroken : failure_kind::kConnectFailed,
             retry_allowed);
    }
  }

  void Fail(failure_kind kind, bool retry_allowed) {
    // A target that has started to respond cannot report that it did not run.
    if (delivered_ && kind == failure_kind::kNotAdmitted) {
      kind = failure_kind::kBroken;
    }
    if (sent_ && kind != failure_kind::kNotAdmitted) {
      may_have_run_ = true;
      ++run_count_;
    }
    const lifecycle_step step = lifecycle_.OnAttempt(
        attempt_failed{.kind = kind, .sent = sent_, .delivered = delivered_},
        retry_allowed, now_);
    retried_after_delivery_ |=
        delivered_ && std::holds_alternative<step_retry>(step);
    Apply(step);
  }

  void Apply(const lifecycle_step& step) {
    const auto* end = std::get_if<step_end>(&step);
    if (end == nullptr) {
      return;
    }
    ++end_count_;
    if (const auto* refused = std::get_if<outcome_refused>(&end->result)) {
      reported_not_run_ = refused->run == refusals::run_state::kNotRun;
    }
  }

  bool repeatable_;
  request_lifecycle lifecycle_;
  time_point now_{seconds(1000)};
  bool sent_ = false;
  bool delivered_ = false;
  bool may_have_run_ = false;
  bool reported_not_run_ = false;
  bool retried_after_delivery_ = false;
  int end_count_ = 0;
  int run_count_ = 0;
};

TEST_CASE(
    "lifecycle: any interleaving of events: exactly one correct outcome") {
  rc::prop("one outcome; not_run only if nothing ran", [](bool repeatable) {
    random_lifecycle lifecycle(repeatable);
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 4000)));
    for (const auto& [choice, advance_ms] : steps) {
      lifecycle.Step(choice, advance_ms % 3 != 0, advance_ms);
    }
    lifecycle.Finish();
    lifecycle.Check();
  });
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: stream breaks midway, resumable: continues "
                 "at another target; not resumable: cut") {
  spec.resumable = GENERATE(true, false);
  options.max_attempts = 2;
  auto lifecycle = Make();
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  lifecycle.OnAttempt(attempt_first_output{}, true, now);
  const auto step = lifecycle.OnAttempt(
      Failure(failure_kind::kBroken, true, true), true, now);
  if (spec.resumable) {
    CHECK(std::holds_alternative<step_retry>(step));
    CHECK(lifecycle.resuming());
  } else {
    const auto* end = std::get_if<step_end>(&step);
    REQUIRE(end != nullptr);
    CHECK(std::holds_alternative<outcome_cut>(end->result));
  }
}

// Streams were cut by the router for a pause of their only target.
TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: resumable stream pauses, no attempt is left: "
                 "waits for its time limit") {
  spec.resumable = true;
  spec.time_limit = seconds(60);
  spec.max_attempts = GENERATE(1U, 2U);
  options = OptionsFor(spec, options);
  auto lifecycle = Make();
  const time_point arrived = now;
  for (std::uint32_t attempt = 1; attempt <= *spec.max_attempts; ++attempt) {
    lifecycle.Dispatch(now);
    lifecycle.OnAttempt(attempt_sending{}, true, now);
    if (attempt == *spec.max_attempts) {
      break;
    }
    lifecycle.OnAttempt(attempt_first_output{}, true, now);
    CHECK(lifecycle.deadline() == now + options.between_tokens_timeout);
    REQUIRE(std::holds_alternative<step_retry>(lifecycle.OnAttempt(
        Failure(failure_kind::kBroken, true, true), true, now)));
  }
  if (*spec.max_attempts > 1) {
    CHECK(lifecycle.deadline() == arrived + seconds(60));
  }
  lifecycle.OnAttempt(attempt_first_output{}, true, now);
  CHECK(lifecycle.deadline() == arrived + seconds(60));
}

TEST_CASE_METHOD(
    lifecycle_fixture,
    "lifecycle: resumed stream finds no target: cut, not refused") {
  spec.resumable = true;
  auto lifecycle = Make();
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  lifecycle.OnAttempt(Failure(failure_kind::kBroken, true, true), true, now);
  REQUIRE(lifecycle.waiting());
  const auto step = lifecycle.Refuse(refusals::refusal_reason::kNoTarget);
  const auto* end = std::get_if<step_end>(&step);
  REQUIRE(end != nullptr);
  CHECK(std::holds_alternative<outcome_cut>(end->result));
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: attempts that did not run: not counted against "
                 "those that may run") {
  options.max_attempts = 1;
  options.max_tries = 3;
  auto lifecycle = Make(/*repeatable=*/false);
  for (int i = 0; i < 2; ++i) {
    lifecycle.Dispatch(now);
    lifecycle.OnAttempt(attempt_sending{}, true, now);
    const auto step = lifecycle.OnAttempt(
        Failure(failure_kind::kOtherTarget, true), true, now);
    REQUIRE(std::holds_alternative<step_retry>(step));
  }
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  const auto step =
      lifecycle.OnAttempt(Failure(failure_kind::kNotAdmitted, true), true, now);
  REQUIRE(Refused(step) != nullptr);
  CHECK(Refused(step)->run == refusals::run_state::kNotRun);
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "lifecycle: target returned an error, no retry left: error is "
                 "forwarded") {
  auto lifecycle = Make();
  lifecycle.Dispatch(now);
  lifecycle.OnAttempt(attempt_sending{}, true, now);
  attempt_failed failure = Failure(failure_kind::kTargetError, true);
  failure.answer_status = 500;
  const auto step = lifecycle.OnAttempt(failure, /*retry_allowed=*/false, now);
  const auto* end = std::get_if<step_end>(&step);
  REQUIRE(end != nullptr);
  CHECK(std::holds_alternative<outcome_target_failure>(end->result));
}

TEST_CASE_METHOD(lifecycle_fixture,
                 "options: request's own limits: bound the total time and, for "
                 "repeatable requests, the time of one attempt") {
  spec.time_limit = milliseconds(800);
  spec.max_attempts = 2;
  CHECK(OptionsFor(spec, options).total_timeout == milliseconds(800));
  CHECK(OptionsFor(spec, options).service_answer_timeout == milliseconds(400));
  spec.repeatable = false;
  CHECK(OptionsFor(spec, options).service_answer_timeout == milliseconds(800));
}

}  // namespace
}  // namespace burdocklock::routing
