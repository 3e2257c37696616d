// Decides on one rollout in progress: the version's part, and its end. Owned by
// the leader of the control hosts.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "rollouts/types/outcomes.h"
#include "rollouts/types/rollout.h"
#include "rollouts/version_tests.h"

namespace burdocklock::rollouts {

/// What the fleet reports of a rollout.
struct rollout_evidence {
  /// Sum over all routers.
  rollout_outcomes outcomes;
  /// Requests that run at targets of old versions.
  std::uint32_t old_in_flight = 0;
  /// Slots of targets that are ready.
  std::uint32_t old_slots = 0;
  std::uint32_t new_slots = 0;
};

/// What decided on the end of a rollout, for operators.
struct rollout_end {
  rollout_phase phase = rollout_phase::kReverted;
  std::string cause;
  /// The route that showed it, if it was one.
  std::optional<route_key> route = std::nullopt;
};

struct rollout_decision {
  /// The version's part from now on.
  double part = 0;
  /// Set once the rollout is to end.
  std::optional<rollout_end> end;
};

/// Deterministic state machine. Counts since the order may be told to a new one
/// at once, after a change of the leader.
///
/// Invariants: before `RiseAt` the part is at most `exposure_ratio`;
/// once an end is decided it stays.
class rollout_controller {
 public:
  /// The order was given at `began`.
  rollout_controller(rollout_order order,
                     const rollout_limits& limits,
                     time_point began);

  rollout_decision Decide(const rollout_evidence& evidence, time_point now);
  /// The decided part, for routers.
  [[nodiscard]] rollout_part Part(const rollout_evidence& evidence,
                                  double part) const;
  [[nodiscard]] const rollout_order& order() const { return order_; }
  [[nodiscard]] time_point began() const { return began_; }
  /// The highest score of all tests, relative to that of a verdict.
  [[nodiscard]] double suspicion() const {
    return (tests_without_target_ ? *tests_without_target_ : tests_)
        .suspicion();
  }
  /// A target of the version that answers badly while the others answer well,
  /// so that it is not held against the version.
  [[nodiscard]] const std::optional<target_key>& target_at_fault() const {
    return target_at_fault_;
  }

 private:
  /// Returns why the version is bad, if it is.
  std::optional<finding> FindCause(const rollout_outcomes& outcomes,
                                   time_point now);
  [[nodiscard]] double PlannedPart(const rollout_evidence& evidence,
                                   time_point now);
  [[nodiscard]] std::optional<rollout_end> EndIfDue(
      const rollout_evidence& evidence,
      time_point now) const;
  [[nodiscard]] duration LeastStepTime() const;
  /// As long as slow answers need to show, where the time of the order has
  /// room: while the part rises, answers that are not slow come first and hide
  /// them.
  [[nodiscard]] duration StepTime(const rollout_outcomes& outcomes) const;
  [[nodiscard]] time_point LatestEnd() const;
  /// When the version may get more than the ratio. Earlier in a short time, in
  /// which the steps must fit, too.
  [[nodiscard]] time_point RiseAt() const;

  rollout_order order_;
  rollout_limits limits_;
  time_point began_;
  version_tests tests_;
  /// Set while a target is at fault.
  std::optional<version_tests> tests_without_target_;
  std::optional<target_key> target_at_fault_;
  /// Index of the current step after the first part, and when it began.
  std::size_t step_ = 0;
  time_point step_began_{};
  std::optional<rollout_end> end_;
};

}  // namespace burdocklock::rollouts
