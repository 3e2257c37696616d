// See the header.
#include "rollouts/target_fault.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

namespace burdocklock::rollouts {

namespace {

constexpr std::uint64_t kLeastBad = 3;
constexpr std::size_t kLeastTargets = 2;
// Log likelihood ratio from which the other targets are suspected themselves:
// one bad answer by chance is not enough.
constexpr double kOthersSuspected = 2.6;
// So many bad answers on routes that no other target answers are no chance: the
// routes' requests go to this target, and the fault may be the version's.
constexpr std::uint64_t kMostBadAlone = 5;

struct comparison {
  sample own;
  sample others;
};

// Returns nullopt if there are too few targets.
std::optional<target_key> MostBad(const target_evidence& evidence) {
  std::map<target_key, std::uint64_t> bad;
  for (const target_outcomes& target : evidence.targets) {
    const sample counted = evidence.kind(target.counts);
    if (counted.answers > 0) {
      bad[target.target] += counted.bad;
    }
  }
  if (bad.size() < kLeastTargets) {
    return std::nullopt;
  }
  return std::max_element(
             bad.begin(), bad.end(),
             [](const auto& a, const auto& b) { return a.second < b.second; })
      ->first;
}

std::map<route_key, comparison> SplitByTarget(const target_evidence& evidence,
                                              target_key target) {
  std::map<route_key, comparison> routes;
  for (const target_outcomes& each : evidence.targets) {
    comparison& route = routes[each.route];
    const sample counted = evidence.kind(each.counts);
    sample& side = each.target == target ? route.own : route.others;
    side.answers += counted.answers;
    side.bad += counted.bad;
  }
  return routes;
}

// Of the target's bad answers above what it would have if the bad answers of
// each route were spread over its answers by chance (Mantel-Haenszel), in
// standard deviations.
double Deviations(const std::map<route_key, comparison>& routes) {
  double excess = 0;
  double variance = 0;
  for (const auto& [route, compared] : routes) {
    const auto own = static_cast<double>(compared.own.answers);
    const auto others = static_cast<double>(compared.others.answers);
    const auto bad =
        static_cast<double>(compared.own.bad + compared.others.bad);
    const double all = own + others;
    if (own == 0 || others == 0) {
      continue;
    }
    excess += static_cast<double>(compared.own.bad) - own * bad / all;
    variance += own * others * bad * (all - bad) / (all * all * (all - 1));
  }
  return variance > 0 ? excess / std::sqrt(variance) : 0;
}

auto PlaceOf(const target_outcomes& target) {
  return std::tie(target.route, target.target);
}

}  // namespace

sample Failures(const outcome_counts& counts) {
  return {.answers = counts.answers, .bad = counts.failures};
}

sample Slow(const outcome_counts& counts) {
  return {.answers = counts.timed, .bad = counts.slow};
}

bool OthersAnswerWell(const target_evidence& evidence, target_key target) {
  double ratio = 0;
  std::uint64_t bad_alone = 0;
  for (const auto& [route, compared] : SplitByTarget(evidence, target)) {
    bad_alone += compared.others.answers == 0 ? compared.own.bad : 0;
    ratio += LogLikelihoodRatio(compared.others, evidence.usual_rate(route),
                                evidence.options);
  }
  return ratio < kOthersSuspected && bad_alone < kMostBadAlone;
}

std::optional<target_key> FindTargetAtFault(const target_evidence& evidence,
                                            double deviations) {
  const auto target = MostBad(evidence);
  if (!target || !OthersAnswerWell(evidence, *target)) {
    return std::nullopt;
  }
  const auto routes = SplitByTarget(evidence, *target);
  std::uint64_t bad = 0;
  for (const auto& [route, compared] : routes) {
    bad += compared.own.bad;
  }
  return bad >= kLeastBad && Deviations(routes) >= deviations ? target
                                                              : std::nullopt;
}

std::vector<target_outcomes> Since(const std::vector<target_outcomes>& before,
                                   const std::vector<target_outcomes>& now) {
  std::vector<target_outcomes> news = now;
  auto known = before.begin();
  for (target_outcomes& target : news) {
    while (known != before.end() && PlaceOf(*known) < PlaceOf(target)) {
      ++known;
    }
    if (known != before.end() && PlaceOf(*known) == PlaceOf(target)) {
      target.counts -= known->counts;
    }
  }
  return news;
}

rollout_outcomes WithoutTarget(const rollout_outcomes& outcomes,
                               target_key target) {
  rollout_outcomes others = outcomes;
  for (route_outcomes& route : others.routes) {
    route.new_version = {};
    for (const target_outcomes& each : outcomes.targets) {
      if (each.route == route.route && each.target != target) {
        route.new_version += each.counts;
      }
    }
  }
  return others;
}

}  // namespace burdocklock::rollouts
