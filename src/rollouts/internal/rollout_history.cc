// See the header.
#include "rollouts/rollout_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace burdocklock::rollouts {

void AddStep(rollout_step step,
             std::size_t most,
             std::vector<rollout_step>& steps) {
  steps.push_back(std::move(step));
  while (steps.size() > std::max<std::size_t>(most, 2)) {
    steps[2].left_out += steps[1].left_out + 1;
    steps.erase(steps.begin() + 1);
  }
}

rollout_history::rollout_history(std::vector<rollout_record> records) {
  for (rollout_record& record : records) {
    OnBegun(record.order);
    OnSteps(record.order, std::move(record.steps));
    OnEnded(record.order, record.phase);
  }
}

void rollout_history::OnBegun(const rollout_order& order) {
  records_.push_back({.order = order});
  DropSurplus(order.pool);
}

void rollout_history::OnSteps(const rollout_order& order,
                              std::vector<rollout_step> steps) {
  rollout_record& record = Latest(order);
  for (rollout_step& step : steps) {
    step.cause.resize(std::min(step.cause.size(), kMostTextBytes));
    if (step.target_at_fault.value().size() > kMostTextBytes) {
      step.target_at_fault =
          target_id(step.target_at_fault.value().substr(0, kMostTextBytes));
    }
    AddStep(std::move(step), kMostSteps, record.steps);
  }
}

void rollout_history::OnEnded(const rollout_order& order, rollout_phase phase) {
  Latest(order).phase = phase;
}

std::vector<rollout_record> rollout_history::Of(const pool_id& pool) const {
  std::vector<rollout_record> found;
  std::copy_if(records_.begin(), records_.end(), std::back_inserter(found),
               [&](const rollout_record& r) { return r.order.pool == pool; });
  return found;
}

rollout_record& rollout_history::Latest(const rollout_order& order) {
  const auto found = std::find_if(
      records_.rbegin(), records_.rend(),
      [&](const rollout_record& r) { return r.order.pool == order.pool; });
  if (found != records_.rend() && found->order == order) {
    return *found;
  }
  OnBegun(order);
  return records_.back();
}

void rollout_history::DropSurplus(const pool_id& pool) {
  const auto is_of_pool = [&](const rollout_record& r) {
    return r.order.pool == pool;
  };
  if (std::count_if(records_.begin(), records_.end(), is_of_pool) >
      static_cast<std::ptrdiff_t>(kMostOfPool)) {
    records_.erase(std::find_if(records_.begin(), records_.end(), is_of_pool));
  }
  if (records_.size() > kMostRecords) {
    const auto ended =
        std::find_if(records_.begin(), std::prev(records_.end()),
                     [](const rollout_record& r) {
                       return r.phase != rollout_phase::kInProgress;
                     });
    records_.erase(ended == std::prev(records_.end()) ? records_.begin()
                                                      : ended);
  }
}

}  // namespace burdocklock::rollouts
