// Part of request_router: ends of requests, and refusals with their
// Retry-After.
#include <algorithm>
#include <cmath>

#include "routing/request_router.h"

namespace burdocklock::routing {

using refusals::refusal;
using refusals::refusal_reason;
using refusals::run_state;

namespace {

constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{60};
// Retry-After of a generation that was refused without having run, for example
// after a queue timeout or beyond its customer's share. The jitter spreads the
// callers' retries over time.
constexpr std::chrono::milliseconds kMinOverloadRetryAfter{300};
constexpr std::uint32_t kOverloadRetryAfterJitterMs = 900;
// Retry-After during shutdown: another router can serve the request at once.
constexpr std::chrono::milliseconds kElsewhereRetryAfter{200};
constexpr std::uint32_t kElsewhereJitterMs = 400;

}  // namespace

void request_router::Finish(record& record,
                            const outcome& result,
                            time_point now,
                            effects& out) {
  const request_seq id = record.spec.id;
  ReleaseContinuation(record);
  pool_state& state = PoolOf(record.spec.pool);
  if (state.queue.Remove(record.spec.customer, id)) {
    --totals_.waiting;
  }
  ForgetWaitingStream(state, record);
  ForgetTimed(state, record);
  UpdateWaiting(state, now);
  if (record.lifecycle.attempt_running()) {
    out.emplace_back(
        cancel_attempt{.request = id, .attempt = record.lifecycle.attempt()});
  }
  if (const auto* refused = std::get_if<outcome_refused>(&result)) {
    out.emplace_back(refuse_request{
        .refusal = MakeRefusal(record, refused->reason, refused->run, now)});
  }
  if (std::holds_alternative<outcome_target_failure>(result)) {
    out.emplace_back(forward_error_response{.request = id});
  }
  if (const auto* cut = std::get_if<outcome_cut>(&result)) {
    out.emplace_back(truncate_response{
        .refusal = MakeRefusal(record, cut->reason, run_state::kUnknown, now)});
  }
  CountOutcome(result);
  out.emplace_back(request_ended{.request = id,
                                 .customer = record.spec.customer,
                                 .pool = record.spec.pool,
                                 .result = result,
                                 .attempts = record.lifecycle.attempt(),
                                 .total = now - record.lifecycle.arrived(),
                                 .first_output = record.first_output,
                                 .target = record.tried_targets.empty()
                                               ? target_id()
                                               : record.tried_targets.back(),
                                 .taken_up = record.spec.taken_up});
}

void request_router::CountOutcome(const outcome& result) {
  if (std::holds_alternative<outcome_completed>(result) ||
      std::holds_alternative<outcome_target_failure>(result)) {
    ++totals_.completed;
  } else if (std::holds_alternative<outcome_cut>(result)) {
    ++totals_.cut;
  } else if (std::holds_alternative<outcome_caller_left>(result)) {
    ++totals_.caller_left;
  }
}

refusal request_router::MakeRefusal(const record& record,
                                    refusal_reason reason,
                                    run_state run,
                                    time_point now) {
  ++totals_.refused;
  return {.id = refusal_numbers_.Next(),
          .customer = record.spec.customer,
          .request = record.spec.id,
          .reason = reason,
          .run = run,
          .retry_after = RetryAfter(record, reason, run, now),
          .detail = refusals::Describe(reason)};
}

std::optional<std::chrono::milliseconds> request_router::RetryAfter(
    const record& record,
    refusal_reason reason,
    run_state run,
    time_point now) {
  if (run == run_state::kUnknown && !record.spec.repeatable) {
    return std::nullopt;
  }
  // A return cannot help: the caller must begin anew.
  if (reason == refusal_reason::kVersionGone ||
      reason == refusal_reason::kOriginUnknown ||
      reason == refusal_reason::kServiceChanged) {
    return std::nullopt;
  }
  if (reason == refusal_reason::kPromptBlocked ||
      reason == refusal_reason::kRequestBlocked) {
    const auto block = BlockedFor(record, now);
    return block
               ? std::chrono::ceil<std::chrono::milliseconds>(block->remaining)
               : kMinRetryAfter;
  }
  if (reason == refusal_reason::kNoTarget) {
    if (const auto end = directory_.FirstPauseEnd(record.spec.pool, now)) {
      return std::clamp<std::chrono::milliseconds>(
                 std::chrono::ceil<std::chrono::milliseconds>(*end - now),
                 std::chrono::milliseconds(0), kMaxRetryAfter) +
             std::chrono::milliseconds(
                 random_.Below(kOverloadRetryAfterJitterMs));
    }
  }
  if (reason == refusal_reason::kDraining && run == run_state::kNotRun) {
    return kElsewhereRetryAfter +
           std::chrono::milliseconds(random_.Below(kElsewhereJitterMs));
  }
  if (reason == refusal_reason::kOriginUnanswered ||
      (record.spec.prompt && run == run_state::kNotRun)) {
    return kMinOverloadRetryAfter + std::chrono::milliseconds(random_.Below(
                                        kOverloadRetryAfterJitterMs));
  }
  if (reason == refusal_reason::kNoRoomInTime) {
    return PlaceInLine(record, now);
  }
  switch (reason) {
    case refusal_reason::kOverShare:
    case refusal_reason::kQueueFull:
    case refusal_reason::kQueueTimeout:
    case refusal_reason::kNoTarget: {
      const auto wait = std::chrono::seconds(static_cast<std::int64_t>(
          std::ceil(PoolOf(record.spec.pool).average_wait_s)));
      return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
    }
    case refusal_reason::kDraining:
    case refusal_reason::kRouterBusy:
    case refusal_reason::kTargetFailed:
    case refusal_reason::kTargetTimeout:
      return kMinRetryAfter;
    default:
      return std::nullopt;
  }
}

}  // namespace burdocklock::routing
