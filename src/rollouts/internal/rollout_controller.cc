// See the header.
#include "rollouts/rollout_controller.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <utility>

namespace burdocklock::rollouts {

namespace {

using std::chrono::milliseconds;

// Part of the tolerance that is used to have first answers soon.
constexpr double kFirstAnswers = 0.4;
constexpr double kRatioInUse = 0.5;
constexpr double kInDoubt = 0.7;

// By so many standard deviations a target must be worse than the others to be
// at fault instead of the version. While the version gets the ratio at most, an
// error costs little: it ends once another target answers badly.
constexpr double kDeviationsBeforeSteps = 2.0;
constexpr double kDeviationsInSteps = 3.0;

// Of the part, for a route with few requests.
constexpr double kMostWeight = 4;

// From this part of the time on, the version gets more than the ratio.
constexpr double kRiseAt = 0.6;
constexpr std::array kSteps{0.2, 0.45, 1.0};
constexpr milliseconds kLeastStep{600};
constexpr double kStepFraction = 0.05;
// From an answer to a decision that knows of it.
constexpr milliseconds kReportTime{400};
constexpr milliseconds kAllMoved{1500};
static_assert(kAllMoved >= kPartTime,
              "a router that has not heard of the last step has the part 0 "
              "before the old targets end");
constexpr milliseconds kLeastReserve{800};
constexpr double kReserveFraction = 0.06;
// The version needs at least this part of the old targets' slots to have all
// requests.
constexpr double kEnoughSlots = 0.6;

duration Fraction(milliseconds time, double fraction) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(time.count()) * fraction));
}

}  // namespace

rollout_controller::rollout_controller(rollout_order order,
                                       const rollout_limits& limits,
                                       time_point began)
    : order_(std::move(order)), limits_(limits), began_(began), tests_(began) {}

duration rollout_controller::LeastStepTime() const {
  return std::max<duration>(kLeastStep, Fraction(order_.time, kStepFraction));
}

duration rollout_controller::StepTime(const rollout_outcomes& outcomes) const {
  constexpr auto kRises = static_cast<std::int64_t>(kSteps.size()) - 1;
  const double room_ms =
      ToMilliseconds(LatestEnd() - kAllMoved - RiseAt()) / kRises;
  double step_ms = ToMilliseconds(LeastStepTime());
  for (const route_outcomes& route : outcomes.routes) {
    const usual_time& whole = route.usual.whole;
    const double shows_ms =
        kSlowFactor * std::exp(whole.mean) + ToMilliseconds(kReportTime);
    if (whole.samples > 0) {
      step_ms = std::max(step_ms, std::min(shows_ms, room_ms));
    }
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(step_ms));
}

time_point rollout_controller::LatestEnd() const {
  return began_ + order_.time -
         std::max<duration>(kLeastReserve,
                            Fraction(order_.time, kReserveFraction));
}

time_point rollout_controller::RiseAt() const {
  const auto steps = static_cast<std::int64_t>(kSteps.size()) - 1;
  return std::min(began_ + Fraction(order_.time, kRiseAt),
                  LatestEnd() - LeastStepTime() * steps - kAllMoved);
}

rollout_decision rollout_controller::Decide(const rollout_evidence& evidence,
                                            time_point now) {
  if (!end_) {
    std::optional<finding> found = FindCause(evidence.outcomes, now);
    end_ = found ? rollout_end{.phase = rollout_phase::kReverted,
                               .cause = std::move(found->cause),
                               .route = found->route}
                 : EndIfDue(evidence, now);
  }
  if (end_) {
    const bool complete = end_->phase == rollout_phase::kComplete;
    return {.part = complete ? 1.0 : 0.0, .end = end_};
  }
  return {.part = PlannedPart(evidence, now), .end = std::nullopt};
}

std::optional<finding> rollout_controller::FindCause(
    const rollout_outcomes& outcomes,
    time_point now) {
  std::optional<finding> found = tests_.Compare(outcomes, now);
  std::optional<target_key> at_fault;
  if (found || tests_.suspicion() >= kSuspicion) {
    at_fault = tests_.FindAtFault(
        outcomes, now < RiseAt() ? kDeviationsBeforeSteps : kDeviationsInSteps);
  }
  if (!at_fault) {
    tests_without_target_.reset();
  } else if (at_fault != target_at_fault_) {
    tests_without_target_ = tests_.Anew(WithoutTarget(outcomes, *at_fault));
  }
  target_at_fault_ = at_fault;
  return tests_without_target_ ? tests_without_target_->Compare(
                                     WithoutTarget(outcomes, *at_fault), now)
                               : found;
}

rollout_part rollout_controller::Part(const rollout_evidence& evidence,
                                      double part) const {
  rollout_part told{
      .pool = order_.pool, .version = order_.version, .part = part};
  const auto answers = [](const route_outcomes& route) {
    return static_cast<double>(route.old_version.answers +
                               route.new_version.answers);
  };
  double all = 0;
  for (const route_outcomes& route : evidence.outcomes.routes) {
    all += answers(route);
  }
  const double mean = all / static_cast<double>(std::max<std::size_t>(
                                1, evidence.outcomes.routes.size()));
  for (const route_outcomes& route : evidence.outcomes.routes) {
    // Half as the requests are, half the same for each route.
    const double spread = mean / std::max(1.0, answers(route));
    told.routes.push_back({.route = route.route,
                           .usual = route.usual,
                           .weight = std::min(kMostWeight, (1 + spread) / 2)});
  }
  return told;
}

std::optional<rollout_end> rollout_controller::EndIfDue(
    const rollout_evidence& evidence,
    time_point now) const {
  const bool has_all = step_ == kSteps.size() && now - step_began_ >= kAllMoved;
  const bool suspected = suspicion() >= kSuspicion;
  if (has_all && evidence.old_in_flight == 0 && !suspected) {
    return rollout_end{.phase = rollout_phase::kComplete,
                       .cause = "nothing runs at the old version"};
  }
  if (now < LatestEnd()) {
    return std::nullopt;
  }
  const outcome_counts answered = SumOfRoutes(evidence.outcomes).new_version;
  const bool was_asked =
      evidence.outcomes.begun_old + evidence.outcomes.begun_new > 0;
  if (suspected) {
    return rollout_end{.cause = "suspected at the end of its time"};
  }
  if (evidence.new_slots == 0) {
    return rollout_end{.cause = "no target of the version is ready"};
  }
  if (was_asked && answered.answers == 0) {
    return rollout_end{.cause = "the version has answered nothing"};
  }
  if (step_ < kSteps.size()) {
    return rollout_end{.cause = "the version could not have all requests"};
  }
  return rollout_end{.phase = rollout_phase::kComplete,
                     .cause = "the end of its time"};
}

double rollout_controller::PlannedPart(const rollout_evidence& evidence,
                                       time_point now) {
  const bool has_slots = evidence.new_slots > 0;
  const bool has_enough =
      has_slots && evidence.new_slots >= kEnoughSlots * evidence.old_slots;
  const bool may_rise =
      has_enough && suspicion() < kSuspicion && now >= RiseAt();
  if (may_rise && step_ < kSteps.size() &&
      (step_ == 0 || now - step_began_ >= StepTime(evidence.outcomes))) {
    ++step_;
    step_began_ = now;
  }
  if (step_ > 0) {
    return has_slots ? kSteps[step_ - 1] : 0;
  }
  const auto exposed = static_cast<double>(evidence.outcomes.begun_new);
  const double all = exposed + static_cast<double>(evidence.outcomes.begun_old);
  const double bound =
      limits_.exposure_ratio * all + limits_.exposure_tolerance;
  // In doubt more answers decide sooner, as far as the bound leaves room.
  const bool wants_more =
      exposed < kFirstAnswers * limits_.exposure_tolerance ||
      (suspicion() >= kSuspicion && exposed < kInDoubt * bound);
  const double part = limits_.exposure_ratio * (wants_more ? 1.0 : kRatioInUse);
  return has_slots ? part : 0;
}

}  // namespace burdocklock::rollouts
