// A rollout: traffic of a pool moves to a software version that runs beside
// the old one.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "framework/types/ids.h"
#include "rollouts/types/outcomes.h"

namespace burdocklock::rollouts {

enum class rollout_phase : std::uint8_t { kInProgress, kComplete, kReverted };

constexpr const char* ToString(rollout_phase phase) {
  switch (phase) {
    case rollout_phase::kInProgress:
      return "in_progress";
    case rollout_phase::kComplete:
      return "complete";
    case rollout_phase::kReverted:
      return "reverted";
  }
  return "in_progress";
}

struct rollout_order {
  pool_id pool;
  software_version version;
  /// Within this time the rollout is complete or reverted.
  std::chrono::milliseconds time{0};

  friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/// The latest rollout of a pool.
struct rollout {
  rollout_order order;
  rollout_phase phase = rollout_phase::kInProgress;
  /// Time since the order, as last noted by a leader.
  std::chrono::milliseconds elapsed{0};
  /// Versions whose targets are stopped with the completion; an empty one
  /// stands for targets that name none.
  std::set<software_version> retired;

  friend bool operator==(const rollout&, const rollout&) = default;
};

using rollout_map = std::map<pool_id, rollout>;

/// Which part of a pool's new requests goes to the version, 0 to 1.
struct rollout_part {
  pool_id pool;
  software_version version;
  double part = 0;
  std::vector<route_terms> routes = {};

  friend bool operator==(const rollout_part&, const rollout_part&) = default;
};

/// A part lapses this long after a router has heard of it.
inline constexpr std::chrono::milliseconds kPartTime{1500};

/// Bounds on what a bad version may cost.
struct rollout_limits {
  /// Requests that may reach a bad version, relative to all of its pool.
  double exposure_ratio = 0.05;
  /// Requests that may reach it beside those.
  double exposure_tolerance = 20;
};

}  // namespace burdocklock::rollouts
