// Part of request_router: charges service and records target health from
// attempt events.
#include <type_traits>

#include "routing/request_router.h"

namespace burdocklock::routing {

namespace {

// Whether the failure gives no evidence about the target's health.
bool IsNeutral(const attempt_failed& failure,
               std::optional<refusals::refusal_reason> cancel_reason) {
  switch (failure.kind) {
    case failure_kind::kCallerLost:
    case failure_kind::kNoResources:
    case failure_kind::kAnswerTooLarge:
    case failure_kind::kTargetError:
      return failure.kind != failure_kind::kTargetError ||
             failure.answer_status;
    case failure_kind::kCancelled:
      return cancel_reason != refusals::refusal_reason::kTargetTimeout;
    default:
      return false;
  }
}

targets::slot_time_share::ending SlotTimeEnding(const attempt_failed& failure) {
  return failure.kind == failure_kind::kNotAdmitted
             ? targets::slot_time_share::ending::kRejected
             : targets::slot_time_share::ending::kOther;
}

bool CertainlyNotRun(const attempt_failed& failure) {
  return !failure.sent || failure.kind == failure_kind::kNotAdmitted ||
         failure.kind == failure_kind::kOtherTarget;
}

}  // namespace

void request_router::Account(record& record,
                             const attempt_event& event,
                             time_point now,
                             effects& out) {
  const auto visitor = [&](const auto& value) {
    using event_type = std::decay_t<decltype(value)>;
    if constexpr (std::is_same_v<event_type, attempt_first_output>) {
      OnFirstOutput(record, now, out);
    } else if constexpr (std::is_same_v<event_type, attempt_progress>) {
      record.output_tokens += value.tokens;
      PoolOf(record.spec.pool)
          .queue.Charge(record.spec.customer,
                        value.tokens * fairness::kUnitsPerOutputToken);
    } else if constexpr (std::is_same_v<event_type, attempt_completed>) {
      OnAttemptCompleted(record, value, now, out);
    } else if constexpr (std::is_same_v<event_type, attempt_failed>) {
      OnAttemptFailed(record, value, now, out);
    }
  };
  std::visit(visitor, event);
}

void request_router::OnFirstOutput(record& record,
                                   time_point now,
                                   effects& out) {
  const duration latency = now - record.lifecycle.dispatched();
  observer_.OnFirstOutput(latency, now);
  if (!record.first_output) {
    record.first_output = now - record.lifecycle.arrived();
  }
  if (record.spec.kind != call_kind::kStreamedGeneration) {
    return;
  }
  OnStreamBegan(record, now, out);
  if (directory_.ReportFirstOutput(*record.grant, latency)) {
    ReportRamp(record.grant->target, "first_output_late", out);
  }
  // The target can accept another prompt once it has processed this one.
  if (record.spec.prompt) {
    DispatchTo(record.grant->target, now, out);
  }
}

void request_router::OnAttemptCompleted(record& record,
                                        const attempt_completed& completed,
                                        time_point now,
                                        effects& out) {
  // A stream that went on elsewhere has only part of its output here.
  if (record.spec.prompt && record.output_began && !record.spec.taken_up &&
      record.tried_targets.size() == 1) {
    PoolOf(record.spec.pool)
        .pace.OnCompleted(record.spec.prompt->ExpectedOutputTokens(),
                          *record.output_began - record.dispatched,
                          now - *record.output_began);
  }
  if (record.spec.kind == call_kind::kServiceCall) {
    NoteServiceTime(PoolOf(record.spec.pool), now - record.dispatched);
  }
  if (completed.reported && record.spec.kind != call_kind::kServiceCall) {
    const auto unreported_output_tokens =
        static_cast<double>(completed.reported->output_tokens) -
        record.output_tokens;
    const double prompt_cost_correction =
        completed.reported->prompt_tokens * fairness::kUnitsPerPromptToken -
        record.charged_prompt_cost;
    PoolOf(record.spec.pool)
        .queue.Charge(
            record.spec.customer,
            unreported_output_tokens * fairness::kUnitsPerOutputToken +
                prompt_cost_correction);
  }
  NoteAnswer(record, nullptr, now);
  if (record.spec.kind == call_kind::kServiceCall) {
    ReportServed(record, now, out);
  }
  --totals_.in_flight;
  if (!record.spec.prompt) {
    PoolOf(record.spec.pool).answered.Add(1, now);
  }
  directory_.OnSlotTimeEnded(*record.grant, now - record.dispatched,
                             targets::slot_time_share::ending::kAnswered, now);
  if (directory_.ReleaseSucceeded(*record.grant)) {
    ReportRamp(record.grant->target, "answered_well", out);
  }
  record.grant.reset();
}

void request_router::OnAttemptFailed(record& record,
                                     const attempt_failed& failure,
                                     time_point now,
                                     effects& out) {
  if (!failure.sent) {
    PoolOf(record.spec.pool)
        .queue.Refund(record.spec.customer, record.charged_prompt_cost);
  }
  if (CertainlyNotRun(failure) && record.counts_as_begun) {
    PoolOf(record.spec.pool).timed.estimate.OnNotBegun(now);
  }
  if (CertainlyNotRun(failure) && record.share_charged) {
    record.share_charged = false;
    PoolOf(record.spec.pool)
        .shares.OnNotExecuted(record.spec.customer, record.share_cost, now);
  }
  if (failure.delivered) {
    OnStreamBegan(record, now, out);
  }
  NoteAnswer(record, &failure, now);
  --totals_.in_flight;
  if (failure.kind == failure_kind::kBroken && record.origin) {
    directory_.MarkBroken(*record.grant, now);
  }
  if (failure.kind == failure_kind::kOtherTarget) {
    directory_.MarkReplaced(*record.grant);
  }
  if (failure.kind == failure_kind::kConnectFailed || failure.target_ended) {
    directory_.MarkUnreachable(*record.grant, now);
  }
  const bool is_full = directory_.OnSlotTimeEnded(
      *record.grant, now - record.dispatched, SlotTimeEnding(failure), now);
  if (is_full) {
    ++totals_.full_targets;
    PoolOf(record.spec.pool).rejected.Add(1, now);
  }
  if (is_full || IsNeutral(failure, record.lifecycle.cancel_reason())) {
    directory_.ReleaseNeutral(*record.grant);
  } else {
    directory_.ReleaseFailed(*record.grant, now);
    ReportRamp(record.grant->target, ToString(failure.kind), out);
  }
  record.grant.reset();
}

void request_router::ReportServed(const record& record,
                                  time_point now,
                                  effects& out) {
  const target_id& target = record.grant->target;
  if (directory_.ReportServed(*record.grant, now - record.dispatched, now)) {
    out.emplace_back(
        ramp_changed{.target = target,
                     .limit = directory_.LearnedLimit(target).value_or(0),
                     .cause = "throughput_learned"});
  }
}

void request_router::ReportRamp(const target_id& target,
                                const char* cause,
                                effects& out) {
  if (const auto limit = directory_.RampLimit(target)) {
    out.emplace_back(
        ramp_changed{.target = target, .limit = *limit, .cause = cause});
  }
}

}  // namespace burdocklock::routing
