// Part of request_router: which software versions requests run at while one is
// rolled out, and what is counted of them.
#include <algorithm>
#include <utility>

#include "routing/request_router.h"

namespace burdocklock::routing {

using rollouts::attempt_outcome;

namespace {

// Whether the answer failed for a fault of the target's software. A target that
// ends breaks all its requests at once, which says little of its version.
bool IsFault(const attempt_failed& failure,
             std::optional<refusals::refusal_reason> cancel_reason) {
  switch (failure.kind) {
    case failure_kind::kTargetError:
    case failure_kind::kWrongAnswer:
      return true;
    case failure_kind::kBroken:
      return !failure.target_ended;
    case failure_kind::kCancelled:
      return cancel_reason == refusals::refusal_reason::kTargetTimeout;
    default:
      return false;
  }
}

bool IsBrokenOff(const attempt_failed& failure) {
  return failure.kind == failure_kind::kCancelled ||
         failure.kind == failure_kind::kCallerLost;
}

}  // namespace

void request_router::SetRollouts(const rollouts::rollout_map& rollouts,
                                 time_point now,
                                 effects& out) {
  if (!gate_.enabled() || rollouts == gate_.rollouts()) {
    return;
  }
  gate_.SetRollouts(rollouts);
  outcomes_.SetRollouts(rollouts);
  DispatchAll(now, out);
}

void request_router::SetRolloutParts(
    const std::vector<rollouts::rollout_part>& parts,
    time_point now) {
  gate_.SetParts(parts, now);
  outcomes_.SetUsual(parts);
}

std::vector<software_version> request_router::AvoidedVersions(
    const pool_id& pool,
    time_point now) const {
  if (gate_.IsOpen(pool, now)) {
    return {};
  }
  rollouts::avoided_versions avoided = gate_.Avoided(pool, now);
  if (avoided.last_resort.empty()) {
    return avoided.never;
  }
  std::vector<software_version> all = avoided.never;
  all.insert(all.end(), avoided.last_resort.begin(), avoided.last_resort.end());
  return directory_.HasUsableOther(pool, {}, std::nullopt, now, all)
             ? all
             : std::move(avoided.never);
}

std::optional<targets::choice> request_router::ChooseTarget(
    const record& record,
    bool over_share,
    const std::optional<target_id>& only,
    time_point now) {
  const pool_id& pool = record.spec.pool;
  if (const auto version = RequiredVersion(record)) {
    return gate_.UseOf(pool, *version, now) == rollouts::version_use::kNever
               ? std::nullopt
               : ChooseTargetOf(record, version, {}, over_share, only, now);
  }
  if (record.tried_targets.empty()) {
    const auto by_credit = gate_.NextByCredit(pool, record.spec.route, now);
    auto choice =
        by_credit ? ChooseTargetOf(record, by_credit, {}, over_share, only, now)
                  : std::nullopt;
    if (choice) {
      return choice;
    }
  }
  return ChooseTargetOf(record, std::nullopt, AvoidedVersions(pool, now),
                        over_share, only, now);
}

void request_router::NoteStarted(const record& record, time_point now) {
  const software_version& version = record.grant->version;
  if (record.tried_targets.size() == 1 && !record.origin) {
    gate_.OnFirstAttempt(record.spec.pool, record.spec.route, version, now);
  }
  outcomes_.OnBegun(record.spec.pool, version);
}

void request_router::NoteAnswer(const record& record,
                                const attempt_failed* failure,
                                time_point now) {
  if (!gate_.enabled()) {
    return;
  }
  const bool failed =
      failure != nullptr && IsFault(*failure, record.lifecycle.cancel_reason());
  const bool broken_off = failure != nullptr && !failed;
  if (broken_off && !IsBrokenOff(*failure)) {
    return;
  }
  attempt_outcome ended{.pool = record.spec.pool,
                        .version = record.grant->version,
                        .target = record.grant->target,
                        .route = record.spec.route,
                        .failed = failed,
                        .broken_off = broken_off,
                        .tokens_ahead = record.grant->tokens_ahead};
  // What began elsewhere takes another time.
  const bool is_timed = !failed && record.tried_targets.size() == 1 &&
                        !record.spec.taken_up &&
                        !directory_.WasCold(*record.grant, record.dispatched);
  if (is_timed) {
    ended.whole = now - record.dispatched;
    if (record.spec.kind == call_kind::kStreamedGeneration) {
      ended.first_output =
          record.output_began.value_or(now) - record.dispatched;
    }
  }
  outcomes_.OnEnded(ended);
}

}  // namespace burdocklock::routing
