// See the header.
#include "route_interface/rollout_document.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "framework/codec/format_text.h"

namespace burdocklock::route_interface {

using nlohmann::ordered_json;

namespace {

std::string NameOf(rollouts::route_key key,
                   const app::rollout_history_view& view) {
  const auto found = std::find_if(
      view.routes.begin(), view.routes.end(),
      [&](const std::string& name) { return rollouts::KeyOf(name) == key; });
  return found == view.routes.end() ? std::to_string(key.value()) : *found;
}

ordered_json DescribeStep(const rollouts::rollout_step& step,
                          const app::rollout_history_view& view) {
  const rollouts::outcome_counts& before = step.old_version;
  const rollouts::outcome_counts& after = step.new_version;
  return {{"elapsed_ms", step.elapsed.count()},
          {"phase", ToString(step.phase)},
          {"part", step.part},
          {"begun_old", step.begun_old},
          {"begun_new", step.begun_new},
          {"answers_old", before.answers},
          {"failures_old", before.failures},
          {"slow_old", before.slow},
          {"answers_new", after.answers},
          {"failures_new", after.failures},
          {"slow_new", after.slow},
          {"suspicion", step.suspicion},
          {"left_out", step.left_out},
          {"route", step.route ? NameOf(*step.route, view) : ""},
          {"target_at_fault", step.target_at_fault.value()},
          {"cause", step.cause}};
}

ordered_json DescribeRecord(const rollouts::rollout_record& record,
                            const app::rollout_history_view& view) {
  ordered_json steps = ordered_json::array();
  for (const rollouts::rollout_step& step : record.steps) {
    steps.push_back(DescribeStep(step, view));
  }
  return {{"version", record.order.version.value()},
          {"duration_ms", record.order.time.count()},
          {"phase", ToString(record.phase)},
          {"steps", steps}};
}

}  // namespace

std::string DescribeRollout(const rollouts::rollout& known) {
  return FormatText(ordered_json{{"service", known.order.pool.value()},
                                 {"version", known.order.version.value()},
                                 {"phase", ToString(known.phase)},
                                 {"duration_ms", known.order.time.count()},
                                 {"elapsed_ms", known.elapsed.count()}});
}

std::string DescribeHistory(const app::rollout_history_view& view) {
  ordered_json records = ordered_json::array();
  for (const rollouts::rollout_record& record : view.records) {
    records.push_back(DescribeRecord(record, view));
  }
  return FormatText(
      ordered_json{{"service", view.service.value()}, {"rollouts", records}});
}

}  // namespace burdocklock::route_interface
