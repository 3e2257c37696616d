// Counts what the versions of the pools in rollout answered, at one router.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "rollouts/types/outcomes.h"
#include "rollouts/types/rollout.h"

namespace burdocklock::rollouts {

/// How an attempt at a target ended, for the comparison of versions.
struct attempt_outcome {
  pool_id pool;
  software_version version;
  target_id target = {};
  route_key route;
  bool failed = false;
  /// Ended by the caller or this router: counts only if it was slow until then.
  bool broken_off = false;
  /// Time to the first output of a stream; absent if there was none, or if
  /// the target was cold.
  std::optional<duration> first_output;
  /// Time to the end, likewise.
  std::optional<duration> whole;
  /// Prompt tokens that the target had to process before the first output.
  std::uint64_t tokens_ahead = 0;
};

/// Memory and reports are bounded: beyond `kMostRoutes` of a pool, routes are
/// counted as one; beyond `kMostTargets` pairs of a route and a target, answers
/// are counted for the route only.
class version_outcomes {
 public:
  static constexpr std::size_t kMostRoutes = 24;
  static constexpr std::size_t kMostTargets = 64;
  static constexpr std::size_t kTargetsPerReport = 2;

  /// Forgets the counts of orders that are not in progress any more.
  void SetRollouts(const rollout_map& rollouts);
  /// Usual times over all routers, as the leader tells them.
  void SetUsual(const std::vector<rollout_part>& parts);
  void OnBegun(const pool_id& pool, const software_version& version);
  void OnEnded(const attempt_outcome& ended);
  /// Counts since each order; those of a few targets, bad news first, then
  /// other news, then by turns.
  [[nodiscard]] std::vector<rollout_outcomes> Report();

 private:
  using route_target = std::pair<route_key, target_key>;
  struct target_counts {
    /// Lower values are reported first.
    [[nodiscard]] int ReportRank() const;

    outcome_counts now;
    outcome_counts reported;
  };
  struct running {
    software_version version;
    rollout_outcomes counts;
    std::map<route_key, route_outcomes> routes;
    /// Of the new version.
    std::map<route_target, target_counts> targets;
    /// Reported last.
    route_target last_target;
    /// Of all routers.
    std::map<route_key, usual_times> usual;
  };

  /// Whether the time is several times the usual one, which is the fleet's or
  /// else this router's own; nullopt if neither is known.
  static std::optional<bool> IsSlow(const usual_time& of_fleet,
                                    const usual_time& own,
                                    double log_time);
  static void Learn(usual_time& usual, double log_time);
  static void Count(const attempt_outcome& ended,
                    std::optional<bool> slow,
                    outcome_counts& counts);
  static std::vector<target_outcomes> NextTargets(running& of);
  [[nodiscard]] const usual_times& UsualOfFleet(const pool_id& pool,
                                                route_key route) const;

  std::map<pool_id, running> running_;
  /// Usual times of versions that are not new, also before an order.
  std::map<std::pair<pool_id, route_key>, usual_times> usual_;
};

}  // namespace burdocklock::rollouts
