// The life of one request, from its arrival to its one outcome.
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
  /// Attempts that may have run.
  std::uint32_t max_attempts = 3;
  /// Attempts in all, with those that certainly did not run.
  std::uint32_t max_tries = 3;
};

/// The daemon's options with what the request itself asks for.
lifecycle_options OptionsFor(const request_spec& spec,
                             lifecycle_options defaults);

/// Put the request back into the queue for another attempt.
struct step_retry {
  failure_kind cause = failure_kind::kBroken;
};
/// End the running attempt; an `attempt_failed` must follow.
struct step_cancel_attempt {};
/// The request has ended. An attempt that still runs must be cancelled.
struct step_end {
  outcome result;
};
/// Nothing to do.
struct step_none {};

using lifecycle_step =
    std::variant<step_none, step_retry, step_cancel_attempt, step_end>;

/// Deterministic state machine. The owner dispatches attempts, passes on their
/// events and carries out the step that each call returns.
///
/// Invariants: `step_end` is returned at most once; its outcome is `refused`
/// with `not_run` only if no attempt may have reached a target, by the
/// attempts' own reports; after `attempt_failed` with `delivered` a step is a
/// retry only if the request is resumable; work that is not repeatable is never
/// retried once it may have run.
class request_lifecycle {
 public:
  request_lifecycle(const request_spec& spec,
                    const lifecycle_options& options,
                    time_point arrived);

  /// Begins an attempt. Call only while `waiting()`.
  void Dispatch(time_point now);
  lifecycle_step OnAttempt(const attempt_event& event,
                           bool retry_allowed,
                           time_point now);
  lifecycle_step OnCallerLeft();
  /// Call when `deadline()` has passed.
  lifecycle_step OnDeadline(time_point now);
  /// Gives up a waiting request.
  lifecycle_step Refuse(refusals::refusal_reason reason);
  /// Ends the request early, whatever its phase.
  lifecycle_step Abort(refusals::refusal_reason reason);

  /// True if a failure of this kind would be retried, budget permitting.
  [[nodiscard]] bool WouldRetry(const attempt_failed& failure) const;

  [[nodiscard]] bool waiting() const { return phase_ == phase::kQueued; }
  [[nodiscard]] bool ended() const { return ended_; }
  /// An attempt was dispatched and has not reported its end.
  [[nodiscard]] bool attempt_running() const {
    return phase_ == phase::kConnecting || phase_ == phase::kAwaitingOutput ||
           phase_ == phase::kStreaming || phase_ == phase::kCancelling;
  }
  [[nodiscard]] bool streaming() const { return phase_ == phase::kStreaming; }
  /// Part of the answer has been passed on, so that an attempt must resume it.
  [[nodiscard]] bool resuming() const { return delivered_; }
  /// Why the router cancelled the running attempt; nullopt if it did not.
  [[nodiscard]] std::optional<refusals::refusal_reason> cancel_reason() const {
    return cancel_reason_;
  }
  [[nodiscard]] attempt_number attempt() const { return attempt_; }
  /// Next time at which `OnDeadline` must be called; kNever if none.
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
  refusals::refusal_reason ReasonOf(const attempt_failed& failure) const;
  [[nodiscard]] refusals::run_state Run() const;
  [[nodiscard]] bool IsOverTotal(time_point now) const;

  [[nodiscard]] duration FirstOutputTimeout() const;
  [[nodiscard]] time_point PhaseDeadline() const;

  call_kind kind_;
  bool repeatable_;
  bool resumable_;
  lifecycle_options options_;
  time_point arrived_;
  time_point queued_at_;
  time_point dispatched_{};
  time_point phase_started_{};
  phase phase_ = phase::kQueued;
  attempt_number attempt_{0};
  /// Some attempt that has ended may have reached a target.
  bool may_have_run_ = false;
  /// Attempts that have ended and may have run.
  std::uint32_t runs_ = 0;
  bool delivered_ = false;
  bool ended_ = false;
  /// Why the running attempt is being cancelled by us.
  std::optional<refusals::refusal_reason> cancel_reason_;
  bool cancel_is_final_ = false;
};

}  // namespace burdocklock::routing
