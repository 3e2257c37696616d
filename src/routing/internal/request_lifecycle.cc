// State transitions of a request: attempts, retries, deadlines and the final
// outcome. Also derives the timeouts from the request's time limit.
#include "routing/request_lifecycle.h"

#include <algorithm>

#include "routing/told_status.h"

namespace burdocklock::routing {

using refusals::refusal_reason;
using refusals::run_state;

namespace {

// The failure does not depend on the target, so a retry cannot succeed here.
bool IsNonRetryable(failure_kind kind) {
  return kind == failure_kind::kAnswerTooLarge ||
         kind == failure_kind::kCallerLost ||
         kind == failure_kind::kNoResources;
}

bool MayHaveRun(const attempt_failed& failure) {
  return failure.sent && failure.kind != failure_kind::kNotAdmitted &&
         failure.kind != failure_kind::kOtherTarget;
}

// A repeatable request is retried at another target when the first has not
// responded within `time_limit / kAttemptTimeoutDivisor`.
constexpr int kAttemptTimeoutDivisor = 2;
// A generation stays queued for at most `time_limit / kQueueTimeoutDivisor`, or
// for its latency objective if that is longer.
constexpr int kQueueTimeoutDivisor = 8;
// Interval at which another target is sought for a request whose own is silent.
constexpr std::chrono::milliseconds kLookInterval{100};

}  // namespace

lifecycle_options OptionsFor(const request_spec& spec,
                             lifecycle_options defaults) {
  if (spec.max_attempts) {
    defaults.max_attempts = *spec.max_attempts;
  }
  if (!spec.time_limit) {
    return defaults;
  }
  const duration limit = *spec.time_limit;
  const bool may_retry = spec.repeatable && defaults.max_attempts > 1;
  const duration attempt_timeout =
      may_retry ? limit / kAttemptTimeoutDivisor : limit;
  defaults.total_timeout = limit;
  defaults.has_time_limit = true;
  // A generation that is queued beyond its objective delays others as well.
  defaults.queue_timeout =
      spec.prompt && spec.latency_objective
          ? std::clamp<duration>(limit / kQueueTimeoutDivisor,
                                 *spec.latency_objective, limit)
          : limit;
  defaults.first_token_timeout = attempt_timeout;
  defaults.whole_answer_timeout = attempt_timeout;
  defaults.service_answer_timeout = attempt_timeout;
  // A stream that is not resumable cannot continue at another target, so
  // cancelling it early has no benefit.
  if (!spec.resumable) {
    defaults.between_tokens_timeout = limit;
  }
  return defaults;
}

request_lifecycle::request_lifecycle(const request_spec& spec,
                                     const lifecycle_options& options,
                                     time_point arrived)
    : kind_(spec.kind),
      repeatable_(spec.repeatable),
      resumable_(spec.resumable),
      options_(options),
      arrived_(arrived),
      queued_at_(arrived) {}

void request_lifecycle::Dispatch(time_point now) {
  phase_ = phase::kConnecting;
  phase_started_ = now;
  dispatched_ = now;
  attempt_ = attempt_number(attempt_.value() + 1);
}

lifecycle_step request_lifecycle::OnAttempt(const attempt_event& event,
                                            bool retry_allowed,
                                            time_point now) {
  if (!attempt_running()) {
    return step_none{};
  }
  if (const auto* failure = std::get_if<attempt_failed>(&event)) {
    return OnFailed(*failure, retry_allowed, now);
  }
  if (std::holds_alternative<attempt_completed>(event)) {
    phase_ = phase::kDone;
    return End(outcome_completed{});
  }
  if (phase_ == phase::kCancelling ||
      std::holds_alternative<attempt_head_read>(event)) {
    return step_none{};
  }
  phase_started_ = now;
  phase_ = std::holds_alternative<attempt_sending>(event)
               ? phase::kAwaitingOutput
               : phase::kStreaming;
  return step_none{};
}

lifecycle_step request_lifecycle::OnFailed(const attempt_failed& failure,
                                           bool retry_allowed,
                                           time_point now) {
  if (ended_) {
    phase_ = phase::kDone;
    return step_none{};
  }
  const bool retry = retry_allowed && !RetryDenied(failure, now);
  const refusal_reason reason = RefusalReasonOf(failure);
  unreached_ += failure.sent ? 0 : 1;
  may_have_run_ |= MayHaveRun(failure);
  possible_runs_ += MayHaveRun(failure) ? 1 : 0;
  delivered_ |= failure.delivered;
  cancel_reason_.reset();
  if (retry) {
    phase_ = phase::kQueued;
    queued_at_ = now;
    return step_retry{.cause = failure.kind};
  }
  phase_ = phase::kDone;
  if (failure.kind == failure_kind::kCallerLost) {
    return End(outcome_caller_left{});
  }
  if (delivered_) {
    return End(outcome_cut{.reason = reason});
  }
  if (failure.answer_status &&
      MayTell(*failure.answer_status,
              {.repeatable = repeatable_, .may_have_run = may_have_run_})) {
    return End(outcome_target_failure{});
  }
  return End(outcome_refused{.reason = reason, .run = RunState()});
}

std::optional<retry_denial> request_lifecycle::RetryDenied(
    const attempt_failed& failure,
    time_point now) const {
  if (ended_ || cancel_is_final_ || TotalTimeoutExpired(now)) {
    return retry_denial::kEnded;
  }
  const bool delivered = delivered_ || failure.delivered;
  const bool ran = may_have_run_ || MayHaveRun(failure);
  if ((delivered && !resumable_) || (ran && !repeatable_)) {
    return retry_denial::kNotRepeatable;
  }
  if (IsNonRetryable(failure.kind)) {
    return retry_denial::kSameElsewhere;
  }
  const std::uint32_t possible_runs =
      possible_runs_ + (MayHaveRun(failure) ? 1 : 0);
  const std::uint32_t tries =
      attempt_.value() - unreached_ - (failure.sent ? 0 : 1);
  if (possible_runs >= options_.max_attempts || tries >= options_.max_tries) {
    return retry_denial::kNoAttemptLeft;
  }
  return std::nullopt;
}

lifecycle_step request_lifecycle::OnCallerLeft() {
  if (ended_) {
    return step_none{};
  }
  phase_ = attempt_running() ? phase::kCancelling : phase::kDone;
  return End(outcome_caller_left{});
}

lifecycle_step request_lifecycle::OnDeadline(time_point now) {
  if (ended_ || now < deadline()) {
    return step_none{};
  }
  if (waiting()) {
    return Refuse(TotalTimeoutExpired(now) ? refusal_reason::kDeadline
                                           : refusal_reason::kQueueTimeout);
  }
  cancel_is_final_ = TotalTimeoutExpired(now);
  cancel_reason_ = cancel_is_final_ ? refusal_reason::kDeadline
                                    : refusal_reason::kTargetTimeout;
  phase_ = phase::kCancelling;
  return step_cancel_attempt{};
}

void request_lifecycle::StayAtTarget(time_point now) {
  next_look_ = now + kLookInterval;
}

void request_lifecycle::OnSuspended(duration time, time_point now) {
  if (attempt_running()) {
    phase_started_ = std::min(phase_started_ + time, now);
  }
}

lifecycle_step request_lifecycle::Refuse(refusal_reason reason) {
  if (!waiting() || ended_) {
    return step_none{};
  }
  phase_ = phase::kDone;
  if (delivered_) {
    return End(outcome_cut{.reason = reason});
  }
  return End(outcome_refused{.reason = reason, .run = RunState()});
}

lifecycle_step request_lifecycle::Abort(refusal_reason reason) {
  if (waiting()) {
    return Refuse(reason);
  }
  if (ended_ || !attempt_running()) {
    return step_none{};
  }
  cancel_is_final_ = true;
  cancel_reason_ = reason;
  if (phase_ == phase::kCancelling) {
    return step_none{};
  }
  phase_ = phase::kCancelling;
  return step_cancel_attempt{};
}

lifecycle_step request_lifecycle::End(const outcome& result) {
  if (ended_) {
    return step_none{};
  }
  ended_ = true;
  return step_end{.result = result};
}

refusal_reason request_lifecycle::RefusalReasonOf(
    const attempt_failed& failure) const {
  if (failure.kind == failure_kind::kCancelled && cancel_reason_) {
    return *cancel_reason_;
  }
  return failure.kind == failure_kind::kNoResources
             ? refusal_reason::kRouterBusy
             : refusal_reason::kTargetFailed;
}

run_state request_lifecycle::RunState() const {
  return may_have_run_ ? run_state::kUnknown : run_state::kNotRun;
}

bool request_lifecycle::TotalTimeoutExpired(time_point now) const {
  return now >= arrived_ + options_.total_timeout;
}

duration request_lifecycle::FirstOutputTimeout() const {
  switch (kind_) {
    case call_kind::kStreamedGeneration:
      return options_.first_token_timeout;
    case call_kind::kWholeGeneration:
      return options_.whole_answer_timeout;
    case call_kind::kServiceCall:
      return options_.service_answer_timeout;
  }
  return options_.first_token_timeout;
}

time_point request_lifecycle::PhaseDeadline() const {
  switch (phase_) {
    case phase::kQueued:
      // Its caller waits for the rest and leaves by itself.
      return delivered_ && options_.has_time_limit
                 ? kNever
                 : queued_at_ + options_.queue_timeout;
    case phase::kConnecting:
      return phase_started_ + options_.connect_timeout;
    case phase::kAwaitingOutput:
      return phase_started_ + FirstOutputTimeout();
    case phase::kStreaming:
      return phase_started_ + options_.between_tokens_timeout;
    case phase::kCancelling:
    case phase::kDone:
      return kNever;
  }
  return kNever;
}

bool request_lifecycle::EndsOnlyForAnother() const {
  if (phase_ != phase::kAwaitingOutput && phase_ != phase::kStreaming) {
    return false;
  }
  return options_.has_time_limit || (resumable_ && delivers());
}

bool request_lifecycle::IsLastAttempt() const {
  return RetryDenied({.kind = failure_kind::kCancelled,
                      .sent = true,
                      .delivered = phase_ == phase::kStreaming},
                     phase_started_)
      .has_value();
}

bool request_lifecycle::SeeksOtherTarget(time_point now) const {
  return !ended_ && EndsOnlyForAnother() && now >= deadline() &&
         !TotalTimeoutExpired(now);
}

time_point request_lifecycle::deadline() const {
  if (ended_ || phase_ == phase::kCancelling) {
    return kNever;
  }
  const time_point end = arrived_ + options_.total_timeout;
  if (!EndsOnlyForAnother()) {
    return std::min(PhaseDeadline(), end);
  }
  return IsLastAttempt() ? end
                         : std::min(std::max(PhaseDeadline(), next_look_), end);
}

}  // namespace burdocklock::routing
