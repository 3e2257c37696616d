// Tells one bad target of a version from a bad version.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "rollouts/outcome_test.h"
#include "rollouts/types/outcomes.h"

namespace burdocklock::rollouts {

/// Picks what is compared: failures or slow answers.
using sample_of = sample (*)(const outcome_counts& counts);

sample Failures(const outcome_counts& counts);
sample Slow(const outcome_counts& counts);

/// Answers of a version's targets, and how to judge them.
struct target_evidence {
  /// Ordered by route and target.
  std::vector<target_outcomes> targets;
  sample_of kind = Failures;
  outcome_test_options options;
  /// The old version's rate on a route.
  std::function<double(route_key)> usual_rate;
};

/// The target that has the bad answers, if the others of the version answer
/// well on the same routes, and so often that the target is worse by as many
/// standard deviations. Routes on which one target answered alone tell nothing.
std::optional<target_key> FindTargetAtFault(const target_evidence& evidence,
                                            double deviations);

/// Whether the answers of the other targets show no fault of the version. They
/// do not if several of the target's bad answers are on routes that it answers
/// alone.
bool OthersAnswerWell(const target_evidence& evidence, target_key target);

/// What was answered since `before`; each list is ordered by route and target.
std::vector<target_outcomes> Since(const std::vector<target_outcomes>& before,
                                   const std::vector<target_outcomes>& now);

/// The outcomes with the other targets' answers alone. What is not known by
/// target yet is left out, as it may be of either.
rollout_outcomes WithoutTarget(const rollout_outcomes& outcomes,
                               target_key target);

}  // namespace burdocklock::rollouts
