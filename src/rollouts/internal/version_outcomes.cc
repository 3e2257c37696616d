// See the header.
#include "rollouts/version_outcomes.h"

#include <algorithm>
#include <cmath>

namespace burdocklock::rollouts {

namespace {

// Nobody waits for a few milliseconds.
constexpr double kLeastMs = 5;
constexpr std::uint32_t kLeastSamples = 12;
constexpr std::uint32_t kMostSamples = 64;
// A prompt of so many tokens is taken to need twice the time of an empty one.
constexpr double kTokensPerWeight = 2000;
// Usual times that are kept over all pools.
constexpr std::size_t kMostUsual = 1024;

}  // namespace

void version_outcomes::SetRollouts(const rollout_map& rollouts) {
  std::erase_if(running_, [&](const auto& entry) {
    const auto found = rollouts.find(entry.first);
    return found == rollouts.end() ||
           found->second.phase != rollout_phase::kInProgress ||
           found->second.order.version != entry.second.version;
  });
  for (const auto& [pool, known] : rollouts) {
    if (known.phase == rollout_phase::kInProgress) {
      running_.try_emplace(pool, running{.version = known.order.version});
    }
  }
}

void version_outcomes::OnBegun(const pool_id& pool,
                               const software_version& version) {
  const auto found = running_.find(pool);
  if (found == running_.end()) {
    return;
  }
  rollout_outcomes& counts = found->second.counts;
  ++(version == found->second.version ? counts.begun_new : counts.begun_old);
}

void version_outcomes::SetUsual(const std::vector<rollout_part>& parts) {
  for (const rollout_part& part : parts) {
    const auto found = running_.find(part.pool);
    if (found == running_.end()) {
      continue;
    }
    found->second.usual.clear();
    for (const route_terms& terms : part.routes) {
      found->second.usual[terms.route] = terms.usual;
    }
  }
}

std::optional<bool> version_outcomes::IsSlow(const usual_time& of_fleet,
                                             const usual_time& own,
                                             double log_time) {
  const usual_time& usual = of_fleet.samples >= kLeastSamples ? of_fleet : own;
  if (usual.samples < kLeastSamples) {
    return std::nullopt;
  }
  return log_time - usual.mean > std::log(kSlowFactor);
}

void version_outcomes::Learn(usual_time& usual, double log_time) {
  usual.samples = std::min(usual.samples + 1, kMostSamples);
  usual.mean += (log_time - usual.mean) / usual.samples;
}

const usual_times& version_outcomes::UsualOfFleet(const pool_id& pool,
                                                  route_key route) const {
  static const usual_times unknown;
  const auto found = running_.find(pool);
  if (found == running_.end()) {
    return unknown;
  }
  const auto usual = found->second.usual.find(route);
  return usual == found->second.usual.end() ? unknown : usual->second;
}

void version_outcomes::OnEnded(const attempt_outcome& ended) {
  const auto found = running_.find(ended.pool);
  const bool is_new =
      found != running_.end() && ended.version == found->second.version;
  const auto key = std::pair(ended.pool, ended.route);
  if (!usual_.contains(key) && usual_.size() >= kMostUsual) {
    usual_.clear();
  }
  usual_times& own = usual_[key];
  const usual_times& of_fleet = UsualOfFleet(ended.pool, ended.route);
  std::optional<bool> slow;
  const auto judge = [&](const usual_time& fleet, usual_time& known,
                         std::optional<duration> time, double weight) {
    if (!time) {
      return;
    }
    const double log_time =
        std::log(std::max(ToMilliseconds(*time), kLeastMs) / weight);
    if (const auto is_slow = IsSlow(fleet, known, log_time)) {
      slow = slow.value_or(false) || *is_slow;
    }
    if (!is_new && !ended.broken_off) {
      Learn(known, log_time);
    }
  };
  judge(of_fleet.first_output, own.first_output, ended.first_output,
        1 + static_cast<double>(ended.tokens_ahead) / kTokensPerWeight);
  judge(of_fleet.whole, own.whole, ended.whole, 1);
  const bool counts_at_all = !ended.broken_off || slow.value_or(false);
  if (found == running_.end() || !counts_at_all) {
    return;
  }
  auto& routes = found->second.routes;
  const bool is_known =
      routes.contains(ended.route) || routes.size() < kMostRoutes;
  const route_key counted = is_known ? ended.route : route_key();
  route_outcomes& route = routes[counted];
  route.route = counted;
  Count(ended, slow, is_new ? route.new_version : route.old_version);
  const route_target pair(counted, KeyOf(ended.target));
  auto& targets = found->second.targets;
  if (is_new && (targets.contains(pair) || targets.size() < kMostTargets)) {
    Count(ended, slow, targets[pair].now);
  }
}

void version_outcomes::Count(const attempt_outcome& ended,
                             std::optional<bool> slow,
                             outcome_counts& counts) {
  ++counts.answers;
  counts.failures += ended.failed ? 1 : 0;
  counts.timed += slow ? 1 : 0;
  counts.slow += slow.value_or(false) ? 1 : 0;
}

int version_outcomes::target_counts::ReportRank() const {
  constexpr int kBad = 0;
  constexpr int kChanged = 1;
  constexpr int kKnown = 2;
  if (now.failures != reported.failures || now.slow != reported.slow) {
    return kBad;
  }
  return now != reported ? kChanged : kKnown;
}

std::vector<target_outcomes> version_outcomes::NextTargets(running& of) {
  std::vector<route_target> order;
  const auto first = of.targets.upper_bound(of.last_target);
  for (auto at = first; at != of.targets.end(); ++at) {
    order.push_back(at->first);
  }
  for (auto at = of.targets.begin(); at != first; ++at) {
    order.push_back(at->first);
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](const route_target& a, const route_target& b) {
                     return of.targets.at(a).ReportRank() <
                            of.targets.at(b).ReportRank();
                   });
  order.resize(std::min(order.size(), kTargetsPerReport));
  std::vector<target_outcomes> next;
  for (const route_target& pair : order) {
    target_counts& counts = of.targets.at(pair);
    counts.reported = counts.now;
    of.last_target = pair;
    next.push_back(
        {.route = pair.first, .target = pair.second, .counts = counts.now});
  }
  return next;
}

std::vector<rollout_outcomes> version_outcomes::Report() {
  std::vector<rollout_outcomes> all;
  for (auto& [pool, running] : running_) {
    rollout_outcomes report = running.counts;
    report.pool = pool;
    report.version = running.version;
    report.targets = NextTargets(running);
    for (const auto& [key, route] : running.routes) {
      report.routes.push_back(route);
      const auto usual = usual_.find({pool, key});
      if (usual != usual_.end()) {
        report.routes.back().usual = usual->second;
      }
    }
    all.push_back(std::move(report));
  }
  return all;
}

}  // namespace burdocklock::rollouts
