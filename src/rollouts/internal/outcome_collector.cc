// See the header.
#include "rollouts/outcome_collector.h"

#include <algorithm>
#include <utility>

namespace burdocklock::rollouts {

void outcome_collector::AddTo(const counts& added, counts& sum) {
  sum.outcomes.begun_old += added.outcomes.begun_old;
  sum.outcomes.begun_new += added.outcomes.begun_new;
  auto& routes = sum.outcomes.routes;
  for (const route_outcomes& route : added.outcomes.routes) {
    const auto found = std::find_if(routes.begin(), routes.end(),
                                    [&](const route_outcomes& known) {
                                      return known.route == route.route;
                                    });
    if (found == routes.end()) {
      routes.push_back(route);
    } else {
      *found += route;
    }
  }
  for (const auto& [pair, target] : added.targets) {
    sum.targets[pair] += target;
  }
}

void outcome_collector::OnReport(const daemon_id& router,
                                 const rollout_outcomes& reported) {
  counts& known = latest_[router];
  if (reported.begun_old < known.outcomes.begun_old ||
      reported.begun_new < known.outcomes.begun_new) {
    AddTo(known, ended_);
    for (route_outcomes& route : ended_.outcomes.routes) {
      route.usual = {};
    }
    known.targets.clear();
  }
  known.outcomes = reported;
  known.outcomes.targets.clear();
  for (const target_outcomes& target : reported.targets) {
    known.targets[{target.route, target.target}] = target.counts;
  }
}

rollout_outcomes outcome_collector::Sum() const {
  counts sum = ended_;
  for (const auto& [router, counts] : latest_) {
    AddTo(counts, sum);
  }
  for (const auto& [pair, counts] : sum.targets) {
    sum.outcomes.targets.push_back(
        {.route = pair.first, .target = pair.second, .counts = counts});
  }
  return std::move(sum.outcomes);
}

}  // namespace burdocklock::rollouts
