// Table of what a caller is told: kind of request, status of the last target,
// whether that target says that it did not run it, and earlier attempts.
#include "routing/told_status.h"

#include <optional>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "refusals/types/refusal.h"
#include "routing/request_lifecycle.h"

namespace burdocklock::routing {
namespace {

constexpr time_point kNow{std::chrono::seconds(1000)};

struct request_kind {
  const char* name;
  call_kind kind;
  bool repeatable;
  bool resumable;
};

constexpr request_kind kKinds[] = {
    {"idempotent call", call_kind::kServiceCall, true, false},
    {"order", call_kind::kServiceCall, false, false},
    {"stream that may be resumed", call_kind::kStreamedGeneration, true, true},
    {"stream", call_kind::kStreamedGeneration, false, false},
    {"whole generation", call_kind::kWholeGeneration, true, false},
    {"whole generation, once", call_kind::kWholeGeneration, false, false},
};

enum class earlier_attempt { kNone, kNotConnected, kNotAdmitted, kBroken };

constexpr earlier_attempt kEarlier[] = {
    earlier_attempt::kNone, earlier_attempt::kNotConnected,
    earlier_attempt::kNotAdmitted, earlier_attempt::kBroken};

constexpr unsigned kStatuses[] = {400, 404, 408, 409, 421,
                                  429, 500, 502, 503, 504};

// Statuses that callers take for a promise, as the operations page lists them.
bool IsPromise(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

struct told_fixture {
  request_lifecycle Start(const request_kind& kind) {
    const request_spec spec{.id = request_seq(1),
                            .customer = customer_id("depot"),
                            .pool = pool_id("lamp-llm"),
                            .kind = kind.kind,
                            .repeatable = kind.repeatable,
                            .resumable = kind.resumable};
    return request_lifecycle(spec, lifecycle_options{}, kNow);
  }

  /// Status that the caller gets if the last attempt ends with `step`.
  static std::optional<unsigned> Told(const lifecycle_step& step,
                                      unsigned target_status) {
    const auto* end = std::get_if<step_end>(&step);
    if (end == nullptr) {
      return std::nullopt;
    }
    if (std::holds_alternative<outcome_target_failure>(end->result)) {
      return target_status;
    }
    const auto* refused = std::get_if<outcome_refused>(&end->result);
    return refused == nullptr ? std::nullopt
                              : std::optional(refusals::HttpStatus(
                                    refused->reason, refused->run));
  }

  /// Runs the earlier attempt; false if the request has ended with it.
  static bool RunEarlier(request_lifecycle& lifecycle,
                         earlier_attempt earlier) {
    if (earlier == earlier_attempt::kNone) {
      return true;
    }
    lifecycle.Dispatch(kNow);
    const bool sent = earlier != earlier_attempt::kNotConnected;
    if (sent) {
      lifecycle.OnAttempt(attempt_sending{}, true, kNow);
    }
    const failure_kind kind =
        earlier == earlier_attempt::kNotAdmitted ? failure_kind::kNotAdmitted
        : earlier == earlier_attempt::kBroken    ? failure_kind::kBroken
                                                 : failure_kind::kConnectFailed;
    const auto step = lifecycle.OnAttempt(
        attempt_failed{.kind = kind, .sent = sent}, true, kNow);
    return std::holds_alternative<step_retry>(step);
  }

  static lifecycle_step RunLast(request_lifecycle& lifecycle,
                                unsigned status,
                                bool says_not_run) {
    lifecycle.Dispatch(kNow);
    lifecycle.OnAttempt(attempt_sending{}, true, kNow);
    attempt_failed failure{.kind = says_not_run ? failure_kind::kNotAdmitted
                                                : failure_kind::kTargetError,
                           .sent = true};
    if (!says_not_run) {
      failure.answer_status = status;
    }
    return lifecycle.OnAttempt(failure, /*retry_allowed=*/false, kNow);
  }
};

// Guards against docs/incidents/017: a target's 503 reached the caller of an
// order that had run, who repeated it.
TEST_CASE_METHOD(told_fixture,
                 "told status: every kind, status and history: a promise only "
                 "if it is true or does no harm") {
  for (const request_kind& kind : kKinds) {
    for (const earlier_attempt earlier : kEarlier) {
      for (const unsigned status : kStatuses) {
        for (const bool says_not_run : {false, true}) {
          CAPTURE(kind.name, static_cast<int>(earlier), status, says_not_run);
          request_lifecycle lifecycle = Start(kind);
          if (!RunEarlier(lifecycle, earlier)) {
            // What may have run and may not be repeated is not tried again.
            CHECK_FALSE(kind.repeatable);
            CHECK(earlier == earlier_attempt::kBroken);
            continue;
          }
          const auto told =
              Told(RunLast(lifecycle, status, says_not_run), status);
          REQUIRE(told.has_value());
          const bool may_have_run =
              !says_not_run || earlier == earlier_attempt::kBroken;
          if (says_not_run) {
            // The fleet's own refusal.
            CHECK(*told == (may_have_run ? 502 : 503));
          } else if (kind.repeatable || !IsPromise(status)) {
            CHECK(*told == status);
          } else {
            CHECK(*told == 502);
          }
        }
      }
    }
  }
}

TEST_CASE(
    "told status: what the gateway may forward at once: no promise for "
    "what runs once") {
  for (const unsigned status : kStatuses) {
    CAPTURE(status);
    CHECK(MayTell(status, {.repeatable = true, .may_have_run = true}));
    CHECK(MayTell(status, {.repeatable = false, .may_have_run = false}));
    CHECK(MayTell(status, {.repeatable = false, .may_have_run = true}) ==
          !IsPromise(status));
  }
}

}  // namespace
}  // namespace burdocklock::routing
