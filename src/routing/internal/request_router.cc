// Request events and outcomes. Dispatch is in request_dispatch.cc, accounting
// in attempt_accounting.cc.
#include "routing/request_router.h"

#include <algorithm>
#include <cmath>
#include <type_traits>

namespace burdocklock::routing {

using refusals::refusal;
using refusals::refusal_reason;
using refusals::run_state;

namespace {

constexpr std::chrono::seconds kMinRetryAfter{1};
constexpr std::chrono::seconds kMaxRetryAfter{60};
// Retry-After of a generation that was refused without having run, for example
// after a queue timeout or beyond its customer's share. The jitter spreads the
// callers' retries over time.
constexpr std::chrono::milliseconds kMinOverloadRetryAfter{300};
constexpr std::uint32_t kOverloadRetryAfterJitterMs = 900;
// Expected output length as a fraction of the requested maximum.
constexpr double kExpectedOutputFraction = 0.5;

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
      directory_(options_.directory, random) {}

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
    time_point now,
    effects& out) {
  const targets::announce_result result =
      directory_.Announce(announcement, now);
  DispatchAll(now, out);
  return result;
}

void request_router::OnRequest(const request_spec& spec,
                               time_point now,
                               effects& out) {
  RetryBudgetOf(spec.pool, now).OnRequest(now);
  auto [added, inserted] = records_.emplace(
      spec.id, record{.spec = spec,
                      .lifecycle = request_lifecycle(
                          spec, OptionsFor(spec, options_.lifecycle), now)});
  record& record = added->second;
  if (spec.prompt) {
    record.share_cost = ShareCost(*spec.prompt);
    PoolOf(spec.pool).shares.OnArrival(spec.customer, record.share_cost, now);
  }
  if (const auto limit = QueueLimitReached(spec)) {
    Apply(record.lifecycle.Refuse(*limit), record, now, out);
    EraseIfDone(spec.id);
    return;
  }
  Enqueue(record, now, out);
  RefuseOverShare(spec.id, now, out);
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
  const bool retry_allowed = ConsumeRetry(*record, event, now);
  Account(*record, event, now, out);
  if (const auto* failure = std::get_if<attempt_failed>(&event)) {
    out.emplace_back(
        attempt_failure_report{.request = request,
                               .attempt = attempt,
                               .target = record->tried_targets.back(),
                               .kind = failure->kind,
                               .step = failure->step,
                               .detail = failure->detail,
                               .will_retry = retry_allowed});
  }
  const bool slot_freed = !record->grant.has_value();
  Apply(record->lifecycle.OnAttempt(event, retry_allowed, now), *record, now,
        out);
  EraseIfDone(request);
  if (slot_freed) {
    DispatchAll(now, out);
  }
}

bool request_router::ConsumeRetry(const record& record,
                                  const attempt_event& event,
                                  time_point now) {
  const auto* failure = std::get_if<attempt_failed>(&event);
  if (failure == nullptr || !record.lifecycle.WouldRetry(*failure)) {
    return false;
  }
  // No target received anything that a retry would repeat.
  if (!failure->sent) {
    return true;
  }
  const bool allowed = RetryBudgetOf(record.spec.pool, now).TryConsume(now);
  ++(allowed ? totals_.retries : totals_.retries_denied);
  return allowed;
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

void request_router::AbortAll(refusal_reason reason,
                              time_point now,
                              effects& out) {
  std::vector<request_seq> running;
  running.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    running.push_back(id);
  }
  std::sort(running.begin(), running.end());
  for (const request_seq id : running) {
    record& record = *Find(id);
    Apply(record.lifecycle.Abort(reason), record, now, out);
    EraseIfDone(id);
  }
}

void request_router::OnTick(time_point now, effects& out) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const request_seq id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    record& record = *Find(id);
    record.scheduled_deadline = kNever;
    Apply(record.lifecycle.OnDeadline(now), record, now, out);
    ScheduleDeadline(id, record);
    EraseIfDone(id);
  }
  if (directory_.next_deadline() <= now) {
    for (const target_id& target : directory_.CollectSilent(now)) {
      ReportRamp(target, "silent", out);
    }
  }
  DispatchAll(now, out);
  RefuseForNoTarget(now, out);
}

time_point request_router::NextDeadline() const {
  time_point next = directory_.next_deadline();
  if (!deadlines_.empty()) {
    next = std::min(next, deadlines_.begin()->first);
  }
  for (const auto& [pool, state] : pools_) {
    if (!options_.directory.leased) {
      next = std::min(next, state.next_dispatch_at);
    }
    if (state.no_target_since && state.queue.size() > 0) {
      next = std::min(next, *state.no_target_since + options_.no_target_wait);
    }
  }
  return next;
}

refusal request_router::RecordRefusal(refusal refusal) {
  last_refusal_ = refusal_seq(last_refusal_.value() + 1);
  refusal.id = last_refusal_;
  ++totals_.refused;
  return refusal;
}

std::vector<std::pair<pool_id, std::vector<fairness::customer_service>>>
request_router::CustomerSnapshot() const {
  std::vector<std::pair<pool_id, std::vector<fairness::customer_service>>>
      snapshot;
  snapshot.reserve(pools_.size());
  for (const auto& [pool, state] : pools_) {
    snapshot.emplace_back(pool, state.queue.Snapshot());
  }
  std::sort(snapshot.begin(), snapshot.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  return snapshot;
}

std::vector<request_router::customer_load> request_router::Load() const {
  std::map<std::pair<pool_id, customer_id>, customer_load> loads;
  for (const auto& [pool, state] : pools_) {
    for (const fairness::customer_service& entry : state.queue.Snapshot()) {
      loads[{pool, entry.customer}] = {
          .pool = pool,
          .customer = entry.customer,
          .share = entry.share,
          .waiting = static_cast<std::uint32_t>(entry.waiting),
          .service = entry.charged};
    }
  }
  for (const auto& [id, record] : records_) {
    if (record.grant) {
      ++loads[{record.spec.pool, record.spec.customer}]
            .running[record.grant->data_centre];
    }
  }
  std::vector<customer_load> list;
  list.reserve(loads.size());
  for (auto& [key, load] : loads) {
    list.push_back(std::move(load));
  }
  return list;
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

admission::fleet_load request_router::OwnLoad(time_point now) const {
  admission::fleet_load load{.targets = directory_.LocalLoad()};
  for (const auto& [pool, state] : pools_) {
    for (admission::customer_flow& flow : state.shares.LocalFlows(now)) {
      load.customers.push_back(std::move(flow));
    }
  }
  return load;
}

void request_router::SetOthersLoad(const admission::fleet_load& others,
                                   time_point now,
                                   effects& out) {
  directory_.SetRemoteLoad(others.targets);
  double min_own_part = 1;
  for (auto& [pool, state] : pools_) {
    UpdateKnownCapacity(pool, state, now);
    state.shares.SetRemoteFlows(others.customers, now);
    min_own_part =
        std::min(min_own_part, state.shares.LocalDemandFraction(now));
  }
  directory_.SetLocalBacklogFraction(min_own_part);
  DispatchAll(now, out);
}

void request_router::SetPoolThroughput(const pool_id& pool,
                                       double tokens_per_second) {
  pool_state& state = PoolOf(pool);
  if (state.throughput != tokens_per_second) {
    state.throughput = tokens_per_second;
    state.most_slots = 0;
    state.shares.SetKnownCapacity(tokens_per_second);
  }
}

void request_router::UpdateKnownCapacity(const pool_id& pool,
                                         pool_state& state,
                                         time_point now) {
  const std::uint32_t slots = directory_.AnnouncedSlots(pool, now);
  state.most_slots = std::max(state.most_slots, slots);
  // Without any usable target, calls are refused for that reason, not for their
  // customers' shares.
  if (slots > 0) {
    state.shares.SetKnownCapacity(state.throughput * slots / state.most_slots);
  }
}

void request_router::SetVirtualService(const pool_id& pool,
                                       const customer_id& customer,
                                       double value) {
  PoolOf(pool).queue.SetVirtualService(customer, value);
}

request_router::pool_state& request_router::PoolOf(const pool_id& pool) {
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
  const time_point deadline = record.lifecycle.deadline();
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
      PoolOf(record.spec.pool).queue.PushFront(record.spec.customer, id, now);
      ++totals_.waiting;
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

void request_router::Finish(record& record,
                            const outcome& result,
                            time_point now,
                            effects& out) {
  const request_seq id = record.spec.id;
  if (PoolOf(record.spec.pool).queue.Remove(record.spec.customer, id)) {
    --totals_.waiting;
  }
  if (record.lifecycle.attempt_running()) {
    out.emplace_back(
        cancel_attempt{.request = id, .attempt = record.lifecycle.attempt()});
  }
  if (const auto* refused = std::get_if<outcome_refused>(&result)) {
    out.emplace_back(refuse_request{
        .refusal = MakeRefusal(record, refused->reason, refused->run)});
  }
  if (std::holds_alternative<outcome_target_failure>(result)) {
    out.emplace_back(forward_error_response{.request = id});
  }
  if (const auto* cut = std::get_if<outcome_cut>(&result)) {
    out.emplace_back(truncate_response{
        .refusal = MakeRefusal(record, cut->reason, run_state::kUnknown)});
  }
  CountOutcome(result);
  out.emplace_back(request_ended{.request = id,
                                 .customer = record.spec.customer,
                                 .pool = record.spec.pool,
                                 .result = result,
                                 .attempts = record.lifecycle.attempt(),
                                 .total = now - record.lifecycle.arrived(),
                                 .first_output = record.first_output,
                                 .target = record.tried_targets.empty()
                                               ? target_id()
                                               : record.tried_targets.back()});
}

void request_router::CountOutcome(const outcome& result) {
  if (std::holds_alternative<outcome_completed>(result) ||
      std::holds_alternative<outcome_target_failure>(result)) {
    ++totals_.completed;
  } else if (std::holds_alternative<outcome_cut>(result)) {
    ++totals_.cut;
  } else if (std::holds_alternative<outcome_caller_left>(result)) {
    ++totals_.caller_left;
  }
}

void request_router::EraseIfDone(request_seq request) {
  const auto found = records_.find(request);
  if (found == records_.end() || !found->second.lifecycle.ended() ||
      found->second.lifecycle.attempt_running()) {
    return;
  }
  deadlines_.erase({found->second.scheduled_deadline, request});
  records_.erase(found);
}

refusal request_router::MakeRefusal(const record& record,
                                    refusal_reason reason,
                                    run_state run) {
  return RecordRefusal({.customer = record.spec.customer,
                        .request = record.spec.id,
                        .reason = reason,
                        .run = run,
                        .retry_after = RetryAfter(record, reason, run),
                        .detail = refusals::Describe(reason)});
}

std::optional<std::chrono::milliseconds> request_router::RetryAfter(
    const record& record,
    refusal_reason reason,
    run_state run) {
  if (run == run_state::kUnknown && !record.spec.repeatable) {
    return std::nullopt;
  }
  if (record.spec.prompt && run == run_state::kNotRun) {
    return kMinOverloadRetryAfter + std::chrono::milliseconds(random_.Below(
                                        kOverloadRetryAfterJitterMs));
  }
  switch (reason) {
    case refusal_reason::kOverShare:
    case refusal_reason::kQueueFull:
    case refusal_reason::kQueueTimeout:
    case refusal_reason::kNoTarget: {
      const auto wait = std::chrono::seconds(static_cast<std::int64_t>(
          std::ceil(PoolOf(record.spec.pool).average_wait_s)));
      return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
    }
    case refusal_reason::kDraining:
    case refusal_reason::kRouterBusy:
    case refusal_reason::kTargetFailed:
    case refusal_reason::kTargetTimeout:
      return kMinRetryAfter;
    default:
      return std::nullopt;
  }
}

}  // namespace burdocklock::routing
