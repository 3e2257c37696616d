// How a rollout went, for operators.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/ids.h"
#include "rollouts/types/outcomes.h"
#include "rollouts/types/rollout.h"

namespace burdocklock::rollouts {

/// The part and phase from then on, and what decided. Counts are those since
/// the order.
struct rollout_step {
  rollout_phase phase = rollout_phase::kInProgress;
  double part = 0;
  std::chrono::milliseconds elapsed{0};
  std::uint64_t begun_old = 0;
  std::uint64_t begun_new = 0;
  /// Over all routes.
  outcome_counts old_version;
  outcome_counts new_version;
  /// 0 to 1, of a verdict.
  double suspicion = 0;
  /// Why the rollout ended; empty before.
  std::string cause;
  /// The route that showed it, if it was one.
  std::optional<route_key> route = std::nullopt;
  /// The target whose answers are not held against the version; may be empty.
  target_id target_at_fault;
  /// Steps between the one before and this one that are not kept.
  std::uint32_t left_out = 0;

  friend bool operator==(const rollout_step&, const rollout_step&) = default;
};

struct rollout_record {
  rollout_order order;
  rollout_phase phase = rollout_phase::kInProgress;
  /// In the order of their decision. The first ones of a new leader may repeat
  /// times before those of the last.
  std::vector<rollout_step> steps;

  friend bool operator==(const rollout_record&,
                         const rollout_record&) = default;
};

}  // namespace burdocklock::rollouts
