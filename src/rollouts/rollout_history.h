// How the latest rollouts went, as part of the replicated state.
#pragma once

#include <cstddef>
#include <vector>

#include "framework/types/ids.h"
#include "rollouts/types/rollout.h"
#include "rollouts/types/rollout_record.h"

namespace burdocklock::rollouts {

/// Adds a step; if there are `most` already (2 at least), the second one is
/// left out.
void AddStep(rollout_step step,
             std::size_t most,
             std::vector<rollout_step>& steps);

/// Deterministic. Orders that it has not heard of are known from their first
/// step on, as those begun by earlier software.
///
/// Invariants: of a pool at most `kMostOfPool` records, in all `kMostRecords`;
/// of each at most `kMostSteps` steps, the first and the latest; a record that
/// has ended stays as it ended. Records that have ended go first.
class rollout_history {
 public:
  static constexpr std::size_t kMostOfPool = 4;
  static constexpr std::size_t kMostRecords = 32;
  static constexpr std::size_t kMostSteps = 12;
  static constexpr std::size_t kMostTextBytes = 200;

  rollout_history() = default;
  /// Oldest first; those beyond the bounds are dropped.
  explicit rollout_history(std::vector<rollout_record> records);

  void OnBegun(const rollout_order& order);
  void OnSteps(const rollout_order& order, std::vector<rollout_step> steps);
  void OnEnded(const rollout_order& order, rollout_phase phase);

  /// Oldest first.
  [[nodiscard]] std::vector<rollout_record> Of(const pool_id& pool) const;
  [[nodiscard]] const std::vector<rollout_record>& records() const {
    return records_;
  }

  friend bool operator==(const rollout_history&,
                         const rollout_history&) = default;

 private:
  /// The pool's latest record, if it is of this order, or a new one.
  rollout_record& Latest(const rollout_order& order);
  void DropSurplus(const pool_id& pool);

  /// In the sequence of their orders.
  std::vector<rollout_record> records_;
};

}  // namespace burdocklock::rollouts
