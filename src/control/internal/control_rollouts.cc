// Part of control_node: rollouts in progress. The leader decides on them from
// what routers report, and tells routers the parts.
#include <algorithm>
#include <chrono>
#include <utility>

#include "control/control_node.h"

namespace burdocklock::control {

using quorum::raft_role;
using rollouts::rollout_phase;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds kNoteInterval{1};
constexpr std::size_t kStepsPerNote = 2;
// An end that was not applied by then is proposed again.
constexpr std::chrono::seconds kProposeInterval{1};
// A target that was not heard of for this time has no slots.
constexpr std::chrono::seconds kTargetHeard{4};
constexpr std::size_t kRoutersForTwiceInterval = 512;

bool IsOf(const targets::announcement& announced, const pool_id& pool) {
  return std::find(announced.pools.begin(), announced.pools.end(), pool) !=
         announced.pools.end();
}

}  // namespace

void control_node::UpdateRollouts() {
  const rollouts::rollout_map& known = state_.contents().rollouts;
  std::erase_if(rollouts_, [&](const auto& running) {
    const auto found = known.find(running.first);
    return found == known.end() ||
           found->second.phase != rollout_phase::kInProgress ||
           found->second.order != running.second.controller.order();
  });
  for (const auto& [pool, rollout] : known) {
    if (rollout.phase == rollout_phase::kInProgress &&
        !rollouts_.contains(pool)) {
      rollouts_.emplace(
          pool, running_rollout{
                    .controller = rollouts::rollout_controller(
                        rollout.order,
                        options_.rollouts.value_or(rollouts::rollout_limits{}),
                        now_ - rollout.elapsed)});
      next_rollout_decision_ = now_;
    }
  }
  if (rollouts_.empty()) {
    next_rollout_decision_ = kNever;
  }
}

void control_node::DecideRollouts() {
  const double scale = 1 + std::min(1.0, static_cast<double>(routers_.size()) /
                                             kRoutersForTwiceInterval);
  next_rollout_decision_ = now_ + std::chrono::duration_cast<duration>(
                                      options_.rollout_interval * scale);
  // Another host may lead already.
  if (raft_.role() != raft_role::kLeader || !raft_.IsCurrent(now_)) {
    return;
  }
  rollout_update update;
  std::vector<operator_command> commands;
  for (auto& [pool, running] : rollouts_) {
    if (auto command = Decide(running, update.parts)) {
      commands.push_back(*std::move(command));
    }
  }
  if (!update.parts.empty()) {
    link_port_.SendToAll(RouterLinks(), update);
  }
  // Last, as `rollouts_` follows what they change.
  for (const operator_command& command : commands) {
    Propose(command, [](const command_outcome&) {});
  }
}

std::optional<operator_command> control_node::Decide(
    running_rollout& running,
    std::vector<rollouts::rollout_part>& parts) {
  rollouts::rollout_controller& controller = running.controller;
  const rollouts::rollout_evidence evidence = EvidenceFor(running);
  const rollouts::rollout_decision decision = controller.Decide(evidence, now_);
  parts.push_back(controller.Part(evidence, decision.part));
  const bool is_new_end = decision.end && !running.end_proposed;
  const bool is_new_fault =
      controller.target_at_fault() != running.target_at_fault;
  if (decision.part != running.part || is_new_end || is_new_fault) {
    running.part = decision.part;
    running.target_at_fault = controller.target_at_fault();
    ReportStep(running, evidence, decision);
  }
  if (decision.end) {
    if (running.end_proposed &&
        now_ - *running.end_proposed < kProposeInterval) {
      return std::nullopt;
    }
    running.end_proposed = now_;
    return MakeEnd(running, decision.end->phase);
  }
  if (now_ < running.next_note) {
    return std::nullopt;
  }
  running.next_note = now_ + kNoteInterval;
  return note_rollout{.order = controller.order(),
                      .elapsed = std::chrono::duration_cast<milliseconds>(
                          now_ - controller.began()),
                      .steps = std::exchange(running.steps, {})};
}

void control_node::ReportStep(running_rollout& running,
                              const rollouts::rollout_evidence& evidence,
                              const rollouts::rollout_decision& decision) {
  const rollouts::rollout_controller& controller = running.controller;
  const rollouts::route_outcomes sum = rollouts::SumOfRoutes(evidence.outcomes);
  rollouts::rollout_step step{
      .part = decision.part,
      .elapsed =
          std::chrono::duration_cast<milliseconds>(now_ - controller.began()),
      .begun_old = evidence.outcomes.begun_old,
      .begun_new = evidence.outcomes.begun_new,
      .old_version = sum.old_version,
      .new_version = sum.new_version,
      .suspicion = controller.suspicion(),
      .target_at_fault = NameOf(running.target_at_fault).value_or(target_id())};
  if (decision.end) {
    step.phase = decision.end->phase;
    step.cause = decision.end->cause;
    step.route = decision.end->route;
  }
  port_.OnRollout(controller.order(), step);
  rollouts::AddStep(std::move(step), kStepsPerNote, running.steps);
}

std::optional<target_id> control_node::NameOf(
    const std::optional<rollouts::target_key>& key) const {
  std::optional<target_id> name;
  registry_.Visit([&](const registry_entry& entry) {
    if (key && rollouts::KeyOf(entry.announced.target) == *key) {
      name = entry.announced.target;
    }
  });
  return name;
}

end_rollout control_node::MakeEnd(const running_rollout& running,
                                  rollout_phase phase) const {
  const rollouts::rollout_order& order = running.controller.order();
  end_rollout command{
      .order = order, .phase = phase, .retired = {}, .steps = running.steps};
  if (phase != rollout_phase::kComplete) {
    return command;
  }
  registry_.Visit([&](const registry_entry& entry) {
    const software_version& version = entry.announced.version;
    if (IsOf(entry.announced, order.pool) && version != order.version) {
      command.retired.insert(version);
    }
  });
  return command;
}

rollouts::rollout_evidence control_node::EvidenceFor(
    const running_rollout& running) const {
  const rollouts::rollout_order& order = running.controller.order();
  rollouts::rollout_evidence evidence{.outcomes = running.outcomes.Sum()};
  registry_.Visit([&](const registry_entry& entry) {
    const targets::announcement& announced = entry.announced;
    if (announced.state == targets::target_state::kReady &&
        now_ - entry.last_seen < kTargetHeard && IsOf(announced, order.pool)) {
      (announced.version == order.version ? evidence.new_slots
                                          : evidence.old_slots) +=
          announced.slots;
    }
  });
  // Matters only once all requests go to the new version.
  evidence.old_in_flight = running.part >= 1 ? OldInFlight(order) : 1;
  return evidence;
}

std::uint32_t control_node::OldInFlight(
    const rollouts::rollout_order& order) const {
  std::uint32_t running = 0;
  for (const auto& [target, total] : load_.Totals(now_).targets) {
    const registry_entry* entry = registry_.Find(target);
    if (entry != nullptr && IsOf(entry->announced, order.pool) &&
        entry->announced.version != order.version) {
      running += total.sum.in_flight;
    }
  }
  return running;
}

}  // namespace burdocklock::control
