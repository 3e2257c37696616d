// Sums what routers report of a rollout.
#pragma once

#include <map>
#include <utility>

#include "framework/types/ids.h"
#include "rollouts/types/outcomes.h"

namespace burdocklock::rollouts {

/// Keeps what a router reported before it was restarted, or was lost. Its size
/// grows with routers x routes and targets, of the pool that is moved only.
class outcome_collector {
 public:
  void OnReport(const daemon_id& router, const rollout_outcomes& reported);
  [[nodiscard]] rollout_outcomes Sum() const;

 private:
  using target_counts =
      std::map<std::pair<route_key, target_key>, outcome_counts>;
  struct counts {
    /// Without targets.
    rollout_outcomes outcomes;
    target_counts targets;
  };

  static void AddTo(const counts& added, counts& sum);

  std::map<daemon_id, counts> latest_;
  /// Of runs of routers that have ended.
  counts ended_;
};

}  // namespace burdocklock::rollouts
