// Request events. Dispatch is in request_dispatch.cc, accounting in
// attempt_accounting.cc, outcomes in request_outcome.cc, loads and shares in
// router_load.cc.
#include "routing/request_router.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <type_traits>
#include <utility>

namespace burdocklock::routing {

using refusals::refusal_reason;

namespace {

// Expected output length as a fraction of the requested maximum.
constexpr double kExpectedOutputFraction = 0.5;
// Weight of the newest request in the exponential average of their cost.
constexpr double kCostAverageWeight = 0.02;

double ShareCost(const targets::prompt& prompt) {
  return prompt.input_tokens * fairness::kUnitsPerPromptToken +
         prompt.max_output_tokens * kExpectedOutputFraction *
             fairness::kUnitsPerOutputToken;
}

}  // namespace

request_router::request_router(router_options options,
                               i_random& random,
                               i_routing_observer& observer)
    : options_(std::move(options)),
      random_(random),
      observer_(observer),
      directory_(options_.directory, random),
      guard_(options_.directory.self),
      gate_(options_.rollouts) {}

void request_router::SetCustomer(const customer_id& customer,
                                 const customer_options& terms) {
  customers_[customer] = terms;
}

void request_router::SetDataCentreOut(const data_centre_id& data_centre,
                                      bool out,
                                      time_point now,
                                      effects& out_effects) {
  directory_.SetDataCentreOut(data_centre, out, now);
  DispatchAll(now, out_effects);
}

targets::announce_result request_router::OnAnnouncement(
    const targets::announcement& announcement,
    time_point heard,
    time_point now,
    effects& out) {
  const targets::announce_result result =
      directory_.Announce(announcement, heard, now);
  // The announcement may have been passed on without its version.
  const software_version version =
      directory_.VersionOf(announcement.target).value_or(announcement.version);
  for (const pool_id& pool : announcement.pools) {
    gate_.OnVersionHeard(pool, version, now);
  }
  DispatchTo(announcement.target, now, out);
  RefuseForNoTarget(now, out);
  return result;
}

void request_router::OnRequest(const request_spec& spec,
                               time_point now,
                               effects& out) {
  auto [added, inserted] = records_.emplace(
      spec.id, record{.spec = spec,
                      .suspects = {},
                      .lifecycle = request_lifecycle(
                          spec, OptionsFor(spec, options_.lifecycle), now)});
  if (spec.taken_up) {
    TakeUp(added->second, now, out);
  } else {
    Admit(added->second, now, out);
  }
}

void request_router::Admit(record& record, time_point now, effects& out) {
  const request_spec& spec = record.spec;
  const request_seq id = spec.id;
  RetryBudgetOf(spec.pool, now).OnRequest(now);
  record.suspects =
      crashes::SuspectsOf(spec.pool, spec.prompt, spec.fingerprint);
  if (const auto block = BlockedFor(record, now)) {
    Apply(record.lifecycle.Refuse(ReasonOf(*block)), record, now, out);
    EraseIfDone(id);
    return;
  }
  if (!MayBegin(record, now)) {
    RefuseIfTooLate(record, now, out);
    EraseIfDone(id);
    return;
  }
  if (spec.prompt) {
    record.share_cost = ShareCost(*spec.prompt);
    pool_state& state = PoolOf(spec.pool);
    state.average_cost +=
        kCostAverageWeight * (record.share_cost - state.average_cost);
    state.shares.OnArrival(spec.customer, record.share_cost, now);
  } else {
    // Not counting this one, which would make routers with few seem to have
    // more.
    pool_state& state = PoolOf(spec.pool);
    UseOwnDemand(spec.pool, state, now);
    state.arrivals.Add(1, now);
  }
  NotePatience(record);
  if (const auto limit = QueueLimitReached(record, now)) {
    Apply(record.lifecycle.Refuse(*limit), record, now, out);
    EraseIfDone(id);
    return;
  }
  Enqueue(record, now, out);
  RefuseOverShare(id, now, out);
  RefuseIfNoRoomInTime(id, now, out);
}

void request_router::OnAttempt(request_seq request,
                               attempt_number attempt,
                               const attempt_event& event,
                               time_point now,
                               effects& out) {
  record* record = Find(request);
  if (record == nullptr || record->lifecycle.attempt() != attempt ||
      !record->lifecycle.attempt_running()) {
    return;
  }
  const bool fewer_usable = ApplyAnswerHead(*record, event, now, out);
  RecordEvidence(*record, event, now);
  const auto cancelled_for = record->lifecycle.cancel_reason();
  Account(*record, event, now, out);
  const bool has_target = HasTargetFor(*record, now);
  const auto* failure = std::get_if<attempt_failed>(&event);
  const auto denied =
      failure != nullptr ? ConsumeRetry(*record, *failure, now) : std::nullopt;
  if (failure != nullptr) {
    out.emplace_back(
        attempt_failure_report{.request = request,
                               .attempt = attempt,
                               .target = record->tried_targets.back(),
                               .kind = failure->kind,
                               .step = failure->step,
                               .detail = failure->detail,
                               .retry_denied = denied,
                               .cancelled_for = cancelled_for,
                               .shared_parts = record->suspects.shared_parts,
                               .fingerprint = record->spec.fingerprint,
                               .output_began = record->output_began.has_value(),
                               .target_ended = failure->target_ended});
  }
  const bool slot_freed = !record->grant.has_value();
  const target_id target = record->tried_targets.back();
  // Without a target the request is queued as well, and ended with the reason.
  const bool may_queue = !denied || !has_target;
  Apply(record->lifecycle.OnAttempt(event, may_queue, now), *record, now, out);
  EraseIfDone(request);
  ApplyBlocks(now, out);
  if (slot_freed) {
    DispatchTo(target, now, out);
  }
  // A retry waits for another target.
  if (fewer_usable || failure != nullptr) {
    DispatchAll(now, out);
  }
  if (fewer_usable) {
    RefuseForNoTarget(now, out);
  }
}

bool request_router::HasTargetFor(const record& record, time_point now) const {
  // Targets that name no version go on with each other's streams, also later.
  if (!record.origin || record.origin->version.value().empty()) {
    return true;
  }
  const bool is_ruled_out =
      gate_.UseOf(record.origin->pool, record.origin->version, now) ==
      rollouts::version_use::kNever;
  return !is_ruled_out && directory_.HasVersion(record.origin->pool,
                                                record.origin->version, now);
}

std::optional<software_version> request_router::RequiredVersion(
    const record& record) {
  return record.origin ? std::optional(record.origin->version) : std::nullopt;
}

std::optional<retry_denial> request_router::ConsumeRetry(
    record& record,
    const attempt_failed& failure,
    time_point now) {
  if (const auto denied = record.lifecycle.RetryDenied(failure, now)) {
    return denied;
  }
  if (!HasTargetFor(record, now)) {
    ReleaseContinuation(record);
    return retry_denial::kVersionGone;
  }
  if (!IsContinuationUsable(record, now)) {
    ReleaseContinuation(record);
  }
  // No target received anything that a retry would repeat.
  if (!failure.sent) {
    return std::nullopt;
  }
  if (MayEndNextTarget(record, failure, now)) {
    ++totals_.retries_withheld;
    return retry_denial::kMayEndTarget;
  }
  if (!record.continuation &&
      !RetryBudgetOf(record.spec.pool, now).TryConsume(now)) {
    ++totals_.retries_denied;
    return retry_denial::kNoBudget;
  }
  ++totals_.retries;
  return std::nullopt;
}

void request_router::OnCallerLeft(request_seq request,
                                  time_point now,
                                  effects& out) {
  record* record = Find(request);
  if (record == nullptr) {
    return;
  }
  Apply(record->lifecycle.OnCallerLeft(), *record, now, out);
  EraseIfDone(request);
}

aborted_requests request_router::AbortAll(refusal_reason reason,
                                          time_point now,
                                          effects& out) {
  std::vector<request_seq> unfinished;
  unfinished.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    unfinished.push_back(id);
  }
  std::sort(unfinished.begin(), unfinished.end());
  aborted_requests aborted;
  for (const request_seq id : unfinished) {
    record& record = *Find(id);
    Count(record, now, aborted);
    Apply(record.lifecycle.Abort(reason), record, now, out);
    EraseIfDone(id);
  }
  return aborted;
}

void request_router::Count(const record& record,
                           time_point now,
                           aborted_requests& aborted) {
  const request_lifecycle& lifecycle = record.lifecycle;
  if (lifecycle.ended()) {
    return;
  }
  const bool running = lifecycle.attempt_running();
  ++(running ? aborted.running : aborted.waiting);
  aborted.begun += running && lifecycle.delivers() ? 1 : 0;
  aborted.lost += running && !record.spec.repeatable ? 1 : 0;
  aborted.oldest = std::max(aborted.oldest, now - lifecycle.arrived());
}

void request_router::OnSuspended(duration time, time_point now) {
  directory_.OnSuspended(time, now);
  // Deadlines that are scheduled too early for it find nothing due.
  for (auto& [id, record] : records_) {
    record.lifecycle.OnSuspended(time, now);
  }
}

void request_router::OnTick(time_point now, effects& out) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const request_seq id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    record& record = *Find(id);
    record.scheduled_deadline = kNever;
    OnDeadline(record, now, out);
    EraseIfDone(id);
  }
  const bool targets_changed = directory_.next_deadline() <= now;
  if (targets_changed) {
    for (const target_id& target : directory_.CollectSilent(now)) {
      ReportRamp(target, "silent", out);
    }
  }
  if (guard_.NextDeadline() <= now) {
    guard_.OnTick(now);
  }
  ApplyBlocks(now, out);
  if (targets_changed) {
    DispatchAll(now, out);
  } else {
    DispatchDue(now, out);
  }
  RefuseForNoTarget(now, out);
}

void request_router::OnDeadline(record& record, time_point now, effects& out) {
  if (record.origin_due && *record.origin_due <= now) {
    Apply(record.lifecycle.Refuse(refusal_reason::kOriginUnanswered), record,
          now, out);
    return;
  }
  RefuseIfTooLate(record, now, out);
  OnBeginByPassed(record, now, out);
  if (record.lifecycle.SeeksOtherTarget(now) &&
      !ReserveContinuation(record, now)) {
    record.lifecycle.StayAtTarget(now);
  }
  Apply(record.lifecycle.OnDeadline(now), record, now, out);
}

bool request_router::IsContinuationUsable(const record& record,
                                          time_point now) const {
  if (!record.continuation) {
    return false;
  }
  const targets::slot_grant& grant = record.continuation->grant;
  const auto version = RequiredVersion(record);
  return (!version || grant.version == *version) &&
         directory_.FindIncarnation(grant.target, grant.life) != nullptr &&
         directory_.IsUsable(grant.target, now);
}

void request_router::ReleaseContinuation(record& record) {
  if (!record.continuation) {
    return;
  }
  directory_.ReleaseNeutral(record.continuation->grant);
  retry_budgets_.at(record.spec.pool).Return();
  record.continuation.reset();
}

time_point request_router::NextDeadline() const {
  time_point next = std::min(directory_.next_deadline(), guard_.NextDeadline());
  if (!deadlines_.empty()) {
    next = std::min(next, deadlines_.begin()->first);
  }
  for (const auto& [pool, state] : pools_) {
    if (!options_.directory.leased) {
      next = std::min(next, state.next_dispatch_at);
    }
    if (state.no_target_since && state.queue.size() > 0) {
      next = std::min(next, state.no_target_refusal_at);
    }
  }
  return next;
}

void request_router::ApplyLeases(
    const data_centre_id& data_centre,
    const std::vector<targets::target_lease>& leases,
    time_point valid_until,
    time_point now,
    effects& out) {
  directory_.ApplyLeases(data_centre, leases, valid_until, now);
  DispatchAll(now, out);
}

pool_state& request_router::PoolOf(const pool_id& pool) {
  const auto found = pools_.find(pool);
  if (found != pools_.end()) {
    return found->second;
  }
  return pools_.try_emplace(pool, pool, options_.age_limit).first->second;
}

retry_budget& request_router::RetryBudgetOf(const pool_id& pool,
                                            time_point now) {
  return retry_budgets_.try_emplace(pool, options_.retries, now).first->second;
}

void request_router::SetRetryOptions(const retry_budget_options& retries) {
  options_.retries = retries;
  for (auto& [pool, budget] : retry_budgets_) {
    budget.SetOptions(retries);
  }
}

request_router::record* request_router::Find(request_seq request) {
  const auto found = records_.find(request);
  return found == records_.end() ? nullptr : &found->second;
}

void request_router::ScheduleDeadline(request_seq request, record& record) {
  time_point deadline =
      std::min(record.lifecycle.deadline(), record.origin_due.value_or(kNever));
  if (record.lifecycle.waiting()) {
    deadline = std::min(deadline, LatestBegin(record));
    if (record.begin_by && !record.is_late) {
      deadline = std::min(deadline, *record.begin_by);
    }
  }
  // If the deadline was postponed, the earlier entry fires first and the new
  // deadline is scheduled then.
  if (deadline >= record.scheduled_deadline) {
    return;
  }
  deadlines_.erase({record.scheduled_deadline, request});
  record.scheduled_deadline = deadline;
  deadlines_.emplace(deadline, request);
}

void request_router::Apply(const lifecycle_step& step,
                           record& record,
                           time_point now,
                           effects& out) {
  const request_seq id = record.spec.id;
  const auto visitor = [&](const auto& value) {
    using step_type = std::decay_t<decltype(value)>;
    if constexpr (std::is_same_v<step_type, step_retry>) {
      pool_state& state = PoolOf(record.spec.pool);
      if (record.continuation) {
        Start(record, *std::exchange(record.continuation, std::nullopt),
              IsOverShare(record, now), now, out);
      } else {
        state.queue.PushFront(record.spec.customer, id, now);
        if (record.origin) {
          state.waiting_streams[record.origin->version].insert(id);
        }
        RememberTimed(state, record, now);
        UpdateWaiting(state, now);
        ++totals_.waiting;
      }
    } else if constexpr (std::is_same_v<step_type, step_cancel_attempt>) {
      out.emplace_back(
          cancel_attempt{.request = id, .attempt = record.lifecycle.attempt()});
    } else if constexpr (std::is_same_v<step_type, step_end>) {
      Finish(record, value.result, now, out);
    }
  };
  std::visit(visitor, step);
  ScheduleDeadline(id, record);
}

void request_router::EraseIfDone(request_seq request) {
  const auto found = records_.find(request);
  if (found == records_.end() || !found->second.lifecycle.ended() ||
      found->second.lifecycle.attempt_running()) {
    return;
  }
  deadlines_.erase({found->second.scheduled_deadline, request});
  if (found->second.origin_due) {
    held_.erase({*found->second.spec.stream, request});
  }
  records_.erase(found);
}

}  // namespace burdocklock::routing
