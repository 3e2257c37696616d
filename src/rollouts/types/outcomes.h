// What callers got from the versions of a pool, as counts since the order.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::rollouts {

/// Hash of a route's name; 0 for calls without a route.
using route_key = strong_type<struct rollout_route_key_tag, std::uint32_t>;

/// Hash of a target's id.
using target_key = strong_type<struct rollout_target_key_tag, std::uint32_t>;

/// FNV-1a, but never 0.
inline std::uint32_t HashOf(std::string_view name) {
  constexpr std::uint32_t kPrime = 16777619;
  std::uint32_t hash = 2166136261;
  for (const char c : name) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  }
  return hash == 0 ? 1 : hash;
}

inline route_key KeyOf(std::string_view route_name) {
  return route_key(HashOf(route_name));
}

inline target_key KeyOf(const target_id& target) {
  return target_key(HashOf(target.value()));
}

struct outcome_counts {
  std::uint64_t answers = 0;
  /// Answers that failed for a fault of the target.
  std::uint64_t failures = 0;
  /// Answers whose time was compared with the usual one.
  std::uint64_t timed = 0;
  std::uint64_t slow = 0;

  outcome_counts& operator+=(const outcome_counts& other) {
    answers += other.answers;
    failures += other.failures;
    timed += other.timed;
    slow += other.slow;
    return *this;
  }
  /// What is new since `before`; counts of a router that was restarted may be
  /// missing for a while.
  outcome_counts& operator-=(const outcome_counts& before) {
    answers -= std::min(answers, before.answers);
    failures -= std::min(failures, before.failures);
    timed -= std::min(timed, before.timed);
    slow -= std::min(slow, before.slow);
    return *this;
  }
  friend bool operator==(const outcome_counts&,
                         const outcome_counts&) = default;
};

/// Mean of the logarithm of a time in milliseconds, of the latest answers.
struct usual_time {
  double mean = 0;
  std::uint32_t samples = 0;

  /// Adds what another router found.
  usual_time& operator+=(const usual_time& other) {
    const std::uint32_t sum = samples + other.samples;
    if (sum > 0) {
      mean = (mean * samples + other.mean * other.samples) / sum;
    }
    samples = sum;
    return *this;
  }
  friend bool operator==(const usual_time&, const usual_time&) = default;
};

/// An answer that takes so many times the usual time is slow.
inline constexpr double kSlowFactor = 2.5;

/// Of the old versions on one route.
struct usual_times {
  /// For prompts, per token ahead of them; see `version_outcomes`.
  usual_time first_output;
  usual_time whole;

  usual_times& operator+=(const usual_times& other) {
    first_output += other.first_output;
    whole += other.whole;
    return *this;
  }
  friend bool operator==(const usual_times&, const usual_times&) = default;
};

/// What the leader tells of a route.
struct route_terms {
  route_key route;
  /// Over all routers.
  usual_times usual;
  /// Times the part: the requests of the version are spread so that routes
  /// with few requests are compared, too. Their sum is as without it.
  double weight = 1;

  friend bool operator==(const route_terms&, const route_terms&) = default;
};

struct route_outcomes {
  route_key route;
  outcome_counts old_version;
  outcome_counts new_version;
  usual_times usual;

  route_outcomes& operator+=(const route_outcomes& other) {
    old_version += other.old_version;
    new_version += other.new_version;
    usual += other.usual;
    return *this;
  }

  friend bool operator==(const route_outcomes&,
                         const route_outcomes&) = default;
};

/// What one target of the new version answered on a route.
struct target_outcomes {
  route_key route;
  target_key target;
  outcome_counts counts;

  friend bool operator==(const target_outcomes&,
                         const target_outcomes&) = default;
};

/// Of one router, or the sum over several, for one rollout. The counts never
/// decrease within a router's run.
struct rollout_outcomes {
  pool_id pool;
  software_version version;
  /// Requests sent to targets of the old versions and of the new one.
  std::uint64_t begun_old = 0;
  std::uint64_t begun_new = 0;
  std::vector<route_outcomes> routes;
  /// A report of a router has a few of them, news first; a sum has all that
  /// were reported, ordered by route and target. Their routes are among
  /// `routes`.
  std::vector<target_outcomes> targets = {};

  friend bool operator==(const rollout_outcomes&,
                         const rollout_outcomes&) = default;
};

}  // namespace burdocklock::rollouts
