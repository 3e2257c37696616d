// Part of request_router: plain calls that should end within a latency
// objective. Answers the load of an overload that ends and leaves a queue in
// which all calls are late, and of bursts whose calls can all begin in time.
#include <algorithm>
#include <utility>
#include <vector>

#include "routing/request_router.h"

namespace burdocklock::routing {

using refusals::refusal_reason;

namespace {

// Weights 1/8 and 1/4 of the newest call, as in estimates of round-trip times.
constexpr int kServiceTimeDivisor = 8;
constexpr int kServiceDeviationDivisor = 4;
// Callers honour a Retry-After of up to this part of the time that they have.
constexpr int kHonouredDivisor = 3;
// How long a queue that did not fit counts as one, as callers that were refused
// come back meanwhile.
constexpr std::chrono::seconds kShortFor{1};
// For callers of whose time nothing is known.
constexpr std::chrono::seconds kLatestReturn{10};
// Steps of what callers say they wait, of a latency objective.
constexpr int kPatienceSteps = 16;
// Part of the queue that a customer's calls may take, as others need room.
constexpr std::uint32_t kQueuePartDivisor = 4;

}  // namespace

void request_router::NoteServiceTime(pool_state& state, duration time) {
  timed_waiting& timed = state.timed;
  if (timed.service_time == duration::zero()) {
    timed.service_time = time;
    return;
  }
  const duration error = time - timed.service_time;
  timed.service_time += error / kServiceTimeDivisor;
  timed.service_deviation +=
      (std::chrono::abs(error) - timed.service_deviation) /
      kServiceDeviationDivisor;
}

void request_router::NotePatience(record& record) {
  const request_spec& spec = record.spec;
  if (spec.kind != call_kind::kServiceCall || !spec.patience ||
      spec.latency_objective.value_or(duration::zero()) <= duration::zero()) {
    return;
  }
  record.waited_before =
      PoolOf(spec.pool).timed.patience[*spec.latency_objective].OnCall(
          *spec.patience, *spec.latency_objective / kPatienceSteps);
}

std::optional<time_point> request_router::BeginBy(const record& record) {
  const request_spec& spec = record.spec;
  if (spec.kind != call_kind::kServiceCall || !spec.latency_objective ||
      *spec.latency_objective <= duration::zero() ||
      record.lifecycle.may_have_run()) {
    return std::nullopt;
  }
  const timed_waiting& timed = PoolOf(spec.pool).timed;
  const duration left =
      *spec.latency_objective - timed.service_time - timed.service_deviation;
  // Where no call ends within its objective, none goes before others for it.
  return left > duration::zero() ? std::optional(record.lifecycle.arrived() +
                                                 left - record.waited_before)
                                 : std::nullopt;
}

void request_router::RememberTimed(pool_state& state,
                                   record& record,
                                   time_point now) {
  record.begin_by = BeginBy(record);
  if (record.begin_by) {
    record.is_late = *record.begin_by <= now;
    auto& place = record.is_late ? state.timed.late : state.timed.timely;
    place.emplace(*record.begin_by, record.spec.id);
  }
}

void request_router::ForgetTimed(pool_state& state, record& record) {
  if (!record.begin_by) {
    return;
  }
  auto& place = record.is_late ? state.timed.late : state.timed.timely;
  place.erase({*record.begin_by, record.spec.id});
  record.begin_by.reset();
}

bool request_router::YieldsToTimely(const pool_state& state,
                                    const record& record) {
  return record.begin_by && record.is_late && !state.timed.timely.empty();
}

std::uint32_t request_router::MaxQueued(const record& record, time_point now) {
  const bool is_known =
      BeginBy(record) && PoolOf(record.spec.pool).timed.estimate.Rate(now);
  return is_known ? std::max(options_.max_queued_per_customer,
                             options_.max_queued_total / kQueuePartDivisor)
                  : options_.max_queued_per_customer;
}

void request_router::UpdateWaiting(pool_state& state, time_point now) {
  state.timed.estimate.SetWaiting(state.queue.size() > 0, now);
}

std::optional<duration> request_router::TimeToBegin(const record& record,
                                                    time_point now) {
  const pool_state& state = PoolOf(record.spec.pool);
  const double in_order = static_cast<double>(state.queue.size()) -
                          static_cast<double>(state.timed.late.size()) - 1;
  return state.timed.estimate.Until(
      std::clamp(state.queue.WaitingBefore(record.spec.customer), 0.0,
                 std::max(in_order, 0.0)),
      now);
}

void request_router::RefuseIfNoRoomInTime(request_seq request,
                                          time_point now,
                                          effects& out) {
  const record* record = Find(request);
  if (record == nullptr || !record->lifecycle.waiting() || !record->begin_by) {
    return;
  }
  const pool_id pool = record->spec.pool;
  pool_state& state = PoolOf(pool);
  if (record->is_late) {
    if (HasNoRoomForLate(pool, state, now)) {
      RefuseForTime(request, now, out);
    }
    return;
  }
  // Without a usable target they wait for one, as nothing goes before others.
  const bool is_short =
      now < state.timed.short_until || state.timed.estimate.IsStanding(now);
  if (!is_short || !directory_.HasUsable(pool, now)) {
    return;
  }
  const auto time = TimeToBegin(*record, now);
  if (!time || now + *time <= *record->begin_by) {
    return;
  }
  if (state.timed.short_until <= now) {
    out.emplace_back(pool_short_began{
        .pool = pool,
        .begin_per_second = state.timed.estimate.Rate(now).value_or(0),
        .wait = *time,
        .waiting = state.queue.size(),
        .late = state.timed.late.size()});
  }
  state.timed.short_until = now + kShortFor;
  RefuseForTime(request, now, out);
  const timed_waiting::by_time late = state.timed.late;
  for (const auto& [begin_by, id] : late) {
    RefuseForTime(id, now, out);
  }
}

bool request_router::HasNoRoomForLate(const pool_id& pool,
                                      const pool_state& state,
                                      time_point now) const {
  // Where calls have had to wait, it would begin in the place of one that can
  // be in time, here or at another router.
  const bool calls_wait =
      state.timed.estimate.Rate(now) && directory_.HasUsable(pool, now);
  return now < state.timed.short_until || calls_wait;
}

void request_router::RefuseForTime(request_seq request,
                                   time_point now,
                                   effects& out) {
  record& record = *Find(request);
  Apply(record.lifecycle.Refuse(refusal_reason::kNoRoomInTime), record, now,
        out);
  EraseIfDone(request);
}

void request_router::OnBeginByPassed(record& record,
                                     time_point now,
                                     effects& out) {
  if (!record.lifecycle.waiting() || !record.begin_by || record.is_late ||
      *record.begin_by > now) {
    return;
  }
  timed_waiting& timed = PoolOf(record.spec.pool).timed;
  if (now < timed.short_until) {
    Apply(record.lifecycle.Refuse(refusal_reason::kNoRoomInTime), record, now,
          out);
  } else {
    timed.timely.erase({*record.begin_by, record.spec.id});
    timed.late.emplace(*record.begin_by, record.spec.id);
    record.is_late = true;
  }
}

request_router::queue_state request_router::QueueState(time_point now) const {
  queue_state sum;
  for (const auto& [pool, state] : pools_) {
    const admission::begin_estimate& estimate = state.timed.estimate;
    sum.standing_pools += estimate.IsStanding(now) ? 1 : 0;
    sum.short_pools += now < state.timed.short_until ? 1 : 0;
    const auto wait =
        estimate.Until(static_cast<double>(state.queue.size()), now);
    if (wait && state.queue.size() > 0) {
      sum.longest_wait = std::max(sum.longest_wait, *wait);
    }
  }
  return sum;
}

std::chrono::milliseconds request_router::PlaceInLine(const record& record,
                                                      time_point now) {
  timed_waiting& timed = PoolOf(record.spec.pool).timed;
  const auto patience =
      record.spec.patience ? record.spec.patience : record.spec.time_limit;
  const duration latest =
      patience
          ? std::max<duration>((record.lifecycle.arrived() + *patience - now) /
                                   kHonouredDivisor,
                               duration::zero())
          : kLatestReturn;
  const auto rate = timed.estimate.Rate(now);
  const duration earliest =
      TimeToBegin(record, now).value_or(*record.spec.latency_objective);
  return timed.returns.Next(rate.value_or(1 / ToSeconds(earliest)), earliest,
                            latest, now);
}

}  // namespace burdocklock::routing
