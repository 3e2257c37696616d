// Part of request_router: queueing and dispatch.
#include <algorithm>
#include <map>
#include <utility>

#include "routing/internal/dispatch_pass.h"
#include "routing/request_router.h"

namespace burdocklock::routing {

using refusals::refusal_reason;

namespace {

// Weight of the newest sample in the exponential average of the queue wait.
constexpr double kWaitAverageWeight = 0.1;
constexpr int kCachedTargetWaitDivisor = 4;
// Interval at which dispatch of waiting requests is retried without an event.
constexpr std::chrono::milliseconds kDispatchRetryInterval{40};
// Retries that stay in the budget when a stream leaves a silent target, as the
// next ones may turn it away.
constexpr double kReservedRetries = 2;

// Searches without success after which a pass ends. That of an arriving request
// is shorter, as there may be many; what it leaves is tried at the next retry.
constexpr int kMaxFailures = 64;
constexpr int kMaxFailuresOnArrival = 8;

}  // namespace

std::optional<refusal_reason> request_router::QueueLimitReached(
    const record& record,
    time_point now) {
  const request_spec& spec = record.spec;
  pool_state& state = PoolOf(spec.pool);
  const auto terms = customers_.find(spec.customer);
  if (terms != customers_.end()) {
    state.queue.SetShare(spec.customer, terms->second.share);
  }
  const std::uint32_t limit =
      terms != customers_.end() && terms->second.max_queued
          ? *terms->second.max_queued
          : MaxQueued(record, now);
  // Streams that broke off are ahead, in any number: they take no place of new
  // requests, nor do those that are taken up.
  const std::size_t ahead = state.queue.WaitingAhead(spec.customer);
  const std::size_t before =
      WasAdmitted(record) ? ahead : state.queue.Waiting(spec.customer) - ahead;
  if (before >= limit || totals_.waiting >= options_.max_queued_total) {
    return refusal_reason::kQueueFull;
  }
  return std::nullopt;
}

void request_router::Enqueue(record& record, time_point now, effects& out) {
  // The record may end with the dispatch.
  const pool_id pool = record.spec.pool;
  pool_state& state = PoolOf(pool);
  const request_seq id = record.spec.id;
  if (WasAdmitted(record)) {
    state.queue.PushAhead(record.spec.customer, id, now);
  } else {
    state.queue.Push(record.spec.customer, id, now);
  }
  if (record.origin) {
    state.waiting_streams[record.origin->version].insert(id);
  }
  RememberTimed(state, record, now);
  ++totals_.waiting;
  ScheduleDeadline(id, record);
  DispatchPool(state, pool, kMaxFailuresOnArrival, now, out);
  RefuseForNoTarget(now, out);
}

void request_router::DispatchAll(time_point now, effects& out) {
  for (auto& [pool, state] : pools_) {
    DispatchPool(state, pool, kMaxFailures, now, out);
  }
}

void request_router::DispatchDue(time_point now, effects& out) {
  for (auto& [pool, state] : pools_) {
    if (state.next_dispatch_at <= now) {
      UseOwnDemand(pool, state, now);
      DispatchPool(state, pool, kMaxFailures, now, out);
    }
  }
}

void request_router::DispatchPool(pool_state& state,
                                  const pool_id& pool,
                                  int max_failures,
                                  time_point now,
                                  effects& out) {
  state.next_dispatch_at = kNever;
  EndStreamsWithoutVersion(state, now, out);
  state.queue.SetNewestFirst(now < state.timed.short_until);
  dispatch_pass pass(max_failures);
  while (state.queue.size() > 0 && directory_.HasOpenTarget(pool) &&
         DispatchNext(state, pass, std::nullopt, now, out)) {
  }
  if (state.queue.size() > 0) {
    // Capacity that other routers release is not signalled to this one.
    state.next_dispatch_at = std::min<time_point>(
        now + kDispatchRetryInterval, directory_.NextSlotTime(pool, now));
  }
  UpdateWaiting(state, now);
  UpdateTargetAvailability(state, pool, now);
}

void request_router::DispatchTo(const target_id& target,
                                time_point now,
                                effects& out) {
  for (const pool_id& pool : directory_.PoolsOf(target)) {
    pool_state& state = PoolOf(pool);
    EndStreamsWithoutVersion(state, now, out);
    state.queue.SetNewestFirst(now < state.timed.short_until);
    dispatch_pass pass(kMaxFailures);
    while (state.queue.size() > 0 && directory_.HasRoomAt(target, now) &&
           DispatchNext(state, pass, target, now, out)) {
    }
    if (state.queue.size() > 0) {
      state.next_dispatch_at = std::min<time_point>(
          {state.next_dispatch_at, now + kDispatchRetryInterval,
           directory_.NextSlotTime(pool, now)});
    }
    UpdateWaiting(state, now);
    UpdateTargetAvailability(state, pool, now);
  }
}

bool request_router::DispatchNext(pool_state& state,
                                  dispatch_pass& pass,
                                  const std::optional<target_id>& only,
                                  time_point now,
                                  effects& out) {
  using result = fairness::fair_queue::offer_result;
  return state.queue.TakeNext(
      now, [&](const customer_id& customer, request_seq request) {
        if (pass.IsOver()) {
          return result::kStop;
        }
        if (pass.IsDone(customer)) {
          return result::kNextCustomer;
        }
        const record& record = *Find(request);
        if (YieldsToTimely(state, record)) {
          return result::kNext;
        }
        const request_spec& spec = record.spec;
        const auto required = RequiredVersion(record);
        const bool is_first_try = record.tried_targets.empty();
        if (!pass.IsWorthTrying(spec, required, is_first_try)) {
          return result::kNext;
        }
        if (TryDispatch(request, only, now, out)) {
          return result::kTaken;
        }
        pass.AddFailure(spec, required, is_first_try);
        return result::kNext;
      });
}

void request_router::ForgetWaitingStream(pool_state& state,
                                         const record& record) {
  if (!record.origin) {
    return;
  }
  const auto found = state.waiting_streams.find(record.origin->version);
  if (found == state.waiting_streams.end()) {
    return;
  }
  found->second.erase(record.spec.id);
  if (found->second.empty()) {
    state.waiting_streams.erase(found);
  }
}

void request_router::EndStreamsWithoutVersion(pool_state& state,
                                              time_point now,
                                              effects& out) {
  std::vector<request_seq> ended;
  for (const auto& [version, streams] : state.waiting_streams) {
    if (!HasTargetFor(*Find(*streams.begin()), now)) {
      ended.insert(ended.end(), streams.begin(), streams.end());
    }
  }
  for (const request_seq id : ended) {
    record& record = *Find(id);
    Apply(record.lifecycle.Refuse(refusal_reason::kVersionGone), record, now,
          out);
    EraseIfDone(id);
  }
}

bool request_router::TryDispatch(request_seq request,
                                 const std::optional<target_id>& only,
                                 time_point now,
                                 effects& out) {
  record& record = *Find(request);
  if (BlockedFor(record, now)) {
    return false;
  }
  if (!MayBegin(record, now)) {
    // It is refused with the next tick: the pace has changed since it came.
    ScheduleDeadline(request, record);
    return false;
  }
  const bool over_share = IsOverShare(record, now);
  std::optional<targets::choice> choice =
      ChooseTarget(record, over_share, only, now);
  if (!choice) {
    return false;
  }
  --totals_.waiting;
  Start(record, std::move(*choice), over_share, now, out);
  return true;
}

bool request_router::IsOverShare(const record& record, time_point now) {
  if (!record.spec.prompt) {
    return false;
  }
  admission::share_limiter& shares = PoolOf(record.spec.pool).shares;
  const customer_id& customer = record.spec.customer;
  return WasAdmitted(record) ? shares.IsOverAdvance(customer, now)
                             : shares.IsOverShare(customer, now);
}

void request_router::Start(record& record,
                           targets::choice choice,
                           bool over_share,
                           time_point now,
                           effects& out) {
  const request_seq request = record.spec.id;
  pool_state& state = PoolOf(record.spec.pool);
  const bool is_retry = !record.tried_targets.empty();
  ForgetWaitingStream(state, record);
  ForgetTimed(state, record);
  record.counts_as_begun = state.timed.estimate.OnBegun(now);
  record.lifecycle.Dispatch(now);
  record.tried_targets.push_back(choice.grant.target);
  record.grant = choice.grant;
  record.dispatched = now;
  NoteStarted(record, now);
  record.output_tokens = 0;
  record.output_began.reset();
  record.served = false;
  guard_.OnSent(record.suspects, now);
  record.charged_prompt_cost =
      record.spec.kind == call_kind::kServiceCall
          ? fairness::kUnitsPerServiceCall
          : record.spec.prompt_tokens * fairness::kUnitsPerPromptToken;
  state.queue.Charge(record.spec.customer, record.charged_prompt_cost);
  if (record.share_cost > 0 && !record.share_charged) {
    record.share_charged = true;
    ChargeShare(record, over_share, now);
  }
  ++totals_.in_flight;
  const duration waited = now - record.lifecycle.arrived();
  observer_.OnQueueWait(waited, now);
  state.average_wait_s +=
      kWaitAverageWeight * (ToSeconds(waited) - state.average_wait_s);
  ScheduleDeadline(request, record);
  out.emplace_back(
      routing_decision{.request = request,
                       .customer = record.spec.customer,
                       .pool = record.spec.pool,
                       .attempt = record.lifecycle.attempt(),
                       .target = choice.grant.target,
                       .considered = std::move(choice.considered),
                       .reason = is_retry ? routing_reason::kRetry
                                          : routing_reason::kFirstChoice,
                       .waited = waited,
                       .unread_tokens = choice.unread_tokens,
                       .tokens_before = choice.tokens_before,
                       .copied_tokens = choice.copied_tokens,
                       .copy_from = choice.copy_from,
                       .over_share = over_share,
                       .version = choice.grant.version,
                       .taken_up_from = record.taken_up_from});
  out.emplace_back(start_attempt{
      .request = request,
      .attempt = record.lifecycle.attempt(),
      .target = choice.grant.target,
      .life = choice.grant.life,
      .address = choice.grant.address,
      .connection =
          is_retry || (!record.spec.repeatable && !options_.reuse_for_all)
              ? connection_choice::kNewOnly
              : connection_choice::kReuseAllowed,
      .resumes = record.lifecycle.resuming(),
      .copy_from = choice.copy_from});
}

void request_router::ChargeShare(const record& record,
                                 bool over_share,
                                 time_point now) {
  admission::share_limiter& shares = PoolOf(record.spec.pool).shares;
  if (WasAdmitted(record) && !over_share) {
    shares.OnSentAgain(record.spec.customer, record.share_cost, now);
  } else {
    shares.OnSent(record.spec.customer, record.share_cost, now);
  }
}

std::optional<targets::choice> request_router::ChooseTargetOf(
    const record& record,
    const std::optional<software_version>& version,
    const std::vector<software_version>& avoided,
    bool over_share,
    const std::optional<target_id>& only,
    time_point now) {
  ++totals_.target_searches;
  if (!record.spec.prompt) {
    return directory_.Choose(record.spec.pool, record.tried_targets, now,
                             version, only, avoided);
  }
  const targets::placement_constraints constraints{
      .preferred_only =
          !over_share && !version &&
          now - record.lifecycle.arrived() < CachedTargetWait(record.spec),
      .spare_capacity_only = over_share,
      .version = version,
      .avoided = avoided,
      .only = only};
  return directory_.ChooseForPrompt(record.spec.pool, record.tried_targets,
                                    *record.spec.prompt, constraints, now);
}

bool request_router::ReserveContinuation(record& record, time_point now) {
  retry_budget& budget = RetryBudgetOf(record.spec.pool, now);
  const double reserve = record.lifecycle.delivers() ? kReservedRetries : 0;
  if (!budget.Allows(reserve, now) || BlockedFor(record, now) ||
      !directory_.HasUsableOther(record.spec.pool, record.tried_targets,
                                 RequiredVersion(record), now,
                                 AvoidedVersions(record.spec.pool, now))) {
    return false;
  }
  record.continuation =
      ChooseTarget(record, IsOverShare(record, now), std::nullopt, now);
  return record.continuation && budget.TryConsume(now);
}

duration request_router::CachedTargetWait(const request_spec& spec) {
  return spec.latency_objective.value_or(duration::zero()) /
         kCachedTargetWaitDivisor;
}

void request_router::RefuseOverShare(request_seq request,
                                     time_point now,
                                     effects& out) {
  record* record = Find(request);
  if (record == nullptr || !record->lifecycle.waiting() ||
      !IsOverShare(*record, now)) {
    return;
  }
  Apply(record->lifecycle.Refuse(refusal_reason::kOverShare), *record, now,
        out);
  EraseIfDone(request);
}

void request_router::UpdateTargetAvailability(pool_state& state,
                                              const pool_id& pool,
                                              time_point now) {
  if (state.queue.size() == 0 || directory_.HasUsable(pool, now)) {
    state.no_target_since.reset();
    return;
  }
  if (!state.no_target_since) {
    state.no_target_since = now;
  }
  if (directory_.AllLeave(pool, now)) {
    state.no_target_refusal_at = *state.no_target_since;
  } else if (directory_.FirstPauseEnd(pool, now)) {
    state.no_target_refusal_at = kNever;
  } else {
    state.no_target_refusal_at =
        *state.no_target_since + options_.no_target_wait;
  }
}

std::map<pool_id, std::optional<time_point>> request_router::PoolsWithoutTarget(
    time_point now) const {
  std::map<pool_id, std::optional<time_point>> found;
  for (const auto& [pool, state] : pools_) {
    if (!state.no_target_since || state.queue.size() == 0) {
      continue;
    }
    const auto pause_end = directory_.FirstPauseEnd(pool, now);
    if (pause_end || now >= state.no_target_refusal_at) {
      found.emplace(pool, pause_end);
    }
  }
  return found;
}

void request_router::RefuseForNoTarget(time_point now, effects& out) {
  const auto pools_without_target = PoolsWithoutTarget(now);
  if (pools_without_target.empty()) {
    return;
  }
  std::vector<request_seq> refused;
  for (const auto& [id, record] : records_) {
    const auto found = pools_without_target.find(record.spec.pool);
    if (record.lifecycle.waiting() && !record.origin_due &&
        found != pools_without_target.end() &&
        !(found->second && MayAwaitPauseEnd(record, *found->second))) {
      refused.push_back(id);
    }
  }
  std::sort(refused.begin(), refused.end());
  for (const request_seq id : refused) {
    record& record = *Find(id);
    Apply(record.lifecycle.Refuse(refusal_reason::kNoTarget), record, now, out);
    EraseIfDone(id);
  }
}

}  // namespace burdocklock::routing
