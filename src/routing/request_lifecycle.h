// State machine of one request, from its arrival to its outcome.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "framework/types/time.h"
#include "routing/types/attempt.h"
#include "routing/types/outcome.h"
#include "routing/types/request.h"

namespace burdocklock::routing {

struct lifecycle_options {
  duration queue_timeout = std::chrono::seconds(30);
  duration connect_timeout = std::chrono::seconds(1);
  duration first_token_timeout = std::chrono::seconds(10);
  duration whole_answer_timeout = std::chrono::minutes(2);
  duration service_answer_timeout = std::chrono::seconds(30);
  duration between_tokens_timeout = std::chrono::seconds(5);
  duration total_timeout = std::chrono::minutes(10);
  /// Limit on attempts that may have run.
  std::uint32_t max_attempts = 3;
  /// Limit on the attempts that reached a target, including those that
  /// certainly did not run.
  std::uint32_t max_tries = 3;
  /// The total time-out is the request's own: until then a target's silence
  /// ends an attempt only if another one can take over.
  bool has_time_limit = false;
};

/// Applies the request's own limits to the daemon's defaults.
lifecycle_options OptionsFor(const request_spec& spec,
                             lifecycle_options defaults);

/// The request must be queued again for another attempt.
struct step_retry {
  failure_kind cause = failure_kind::kBroken;
};
/// The running attempt must be cancelled; an `attempt_failed` must follow.
struct step_cancel_attempt {};
/// The request has ended. An attempt that is still running must be cancelled.
struct step_end {
  outcome result;
};
/// No action is required.
struct step_none {};

using lifecycle_step =
    std::variant<step_none, step_retry, step_cancel_attempt, step_end>;

/// Deterministic state machine. The owner dispatches attempts, reports their
/// events and executes the step that each call returns.
///
/// Invariants: `step_end` is returned at most once; its outcome is `refused`
/// with `not_run` only if, according to the reported events, no attempt may
/// have run; after `attempt_failed` with `delivered` the request is retried
/// only if it is resumable; a request that is not repeatable is never retried
/// once it may have run.
class request_lifecycle {
 public:
  request_lifecycle(const request_spec& spec,
                    const lifecycle_options& options,
                    time_point arrived);

  /// Starts an attempt. Precondition: `waiting()`.
  void Dispatch(time_point now);
  lifecycle_step OnAttempt(const attempt_event& event,
                           bool retry_allowed,
                           time_point now);
  lifecycle_step OnCallerLeft();
  /// Call when `deadline()` has passed.
  lifecycle_step OnDeadline(time_point now);
  /// The target has been silent for so long that the request should go on at
  /// another one, but none can take over: the attempt continues for now.
  /// Precondition: `SeeksOtherTarget(now)`.
  void StayAtTarget(time_point now);
  /// This process did not run for `time` until now: that does not count as
  /// silence of the attempt's target.
  void OnSuspended(duration time, time_point now);
  /// Ends a waiting request with a refusal.
  lifecycle_step Refuse(refusals::refusal_reason reason);
  /// Ends the request early in any phase.
  lifecycle_step Abort(refusals::refusal_reason reason);

  /// Why the failure would not be retried even with sufficient retry budget;
  /// absent if it would.
  [[nodiscard]] std::optional<retry_denial> RetryDenied(
      const attempt_failed& failure,
      time_point now) const;

  /// `OnDeadline` would cancel the attempt only for another one to take over.
  [[nodiscard]] bool SeeksOtherTarget(time_point now) const;
  [[nodiscard]] bool waiting() const { return phase_ == phase::kQueued; }
  [[nodiscard]] bool ended() const { return ended_; }
  /// An ended attempt may have run.
  [[nodiscard]] bool may_have_run() const { return may_have_run_; }
  /// An attempt was dispatched and has not yet completed or failed.
  [[nodiscard]] bool attempt_running() const {
    return phase_ == phase::kConnecting || phase_ == phase::kAwaitingOutput ||
           phase_ == phase::kStreaming || phase_ == phase::kCancelling;
  }
  [[nodiscard]] bool streaming() const { return phase_ == phase::kStreaming; }
  /// Part of the response is with the caller or about to be.
  [[nodiscard]] bool delivers() const { return streaming() || delivered_; }
  /// Part of the response was already delivered, so the next attempt must
  /// resume it.
  [[nodiscard]] bool resuming() const { return delivered_; }
  /// Why the router cancelled the running attempt; nullopt if it has not.
  [[nodiscard]] std::optional<refusals::refusal_reason> cancel_reason() const {
    return cancel_reason_;
  }
  [[nodiscard]] attempt_number attempt() const { return attempt_; }
  /// Time at which `OnDeadline` must be called next; kNever if none.
  [[nodiscard]] time_point deadline() const;
  [[nodiscard]] time_point arrived() const { return arrived_; }
  [[nodiscard]] time_point dispatched() const { return dispatched_; }

 private:
  enum class phase {
    kQueued,
    kConnecting,
    kAwaitingOutput,
    kStreaming,
    kCancelling,
    kDone,
  };

  lifecycle_step OnFailed(const attempt_failed& failure,
                          bool retry_allowed,
                          time_point now);
  lifecycle_step End(const outcome& result);
  refusals::refusal_reason RefusalReasonOf(const attempt_failed& failure) const;
  [[nodiscard]] refusals::run_state RunState() const;
  [[nodiscard]] bool TotalTimeoutExpired(time_point now) const;

  [[nodiscard]] duration FirstOutputTimeout() const;
  [[nodiscard]] time_point PhaseDeadline() const;
  /// Whether the running attempt is ended for silence only if another one can
  /// take over.
  [[nodiscard]] bool EndsOnlyForAnother() const;
  [[nodiscard]] bool IsLastAttempt() const;

  call_kind kind_;
  bool repeatable_;
  bool resumable_;
  lifecycle_options options_;
  time_point arrived_;
  time_point queued_at_;
  time_point dispatched_{};
  time_point phase_started_{};
  /// While no target can take over, the next time to look for one.
  time_point next_look_{};
  phase phase_ = phase::kQueued;
  attempt_number attempt_{0};
  /// Attempts that ended before anything was sent.
  std::uint32_t unreached_ = 0;
  /// At least one ended attempt may have run.
  bool may_have_run_ = false;
  /// Number of ended attempts that may have run.
  std::uint32_t possible_runs_ = 0;
  bool delivered_ = false;
  bool ended_ = false;
  /// Why the router is cancelling the running attempt.
  std::optional<refusals::refusal_reason> cancel_reason_;
  bool cancel_is_final_ = false;
};

}  // namespace burdocklock::routing
