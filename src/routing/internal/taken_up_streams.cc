// Part of request_router: streams that their callers received in part in an
// earlier try. They go on only where they began.
#include <algorithm>
#include <chrono>

#include "routing/request_router.h"

namespace burdocklock::routing {

using refusals::refusal_reason;

namespace {

// How long a request is held until it is known where its stream began. An
// answer takes a round trip to a control host.
constexpr std::chrono::milliseconds kOriginWait{300};
// More are refused at once.
constexpr std::size_t kMaxHeld = 1024;
// How long after the end of a try its caller may still take the stream up.
constexpr std::chrono::seconds kTakeUpSlack{30};

}  // namespace

void request_router::TakeUp(record& record, time_point now, effects& out) {
  if (!record.spec.stream) {
    GoOnFrom(record, std::nullopt, now, out);
    return;
  }
  HoldForOrigin(record, now, out);
}

void request_router::HoldForOrigin(record& record,
                                   time_point now,
                                   effects& out) {
  const request_seq id = record.spec.id;
  if (held_.size() >= kMaxHeld) {
    RefuseTakenUp(record, refusal_reason::kOriginUnanswered, now, out);
    return;
  }
  const stream_key key = *record.spec.stream;
  const auto first = held_.lower_bound({key, request_seq(0)});
  if (first == held_.end() || first->first != key) {
    out.emplace_back(ask_stream_origin{.key = key});
  }
  held_.emplace(key, id);
  record.origin_due = now + kOriginWait;
  ScheduleDeadline(id, record);
}

void request_router::OnStreamOrigin(
    stream_key key,
    const std::optional<streams::stream_origin>& origin,
    time_point now,
    effects& out) {
  std::vector<request_seq> waiting;
  for (auto it = held_.lower_bound({key, request_seq(0)});
       it != held_.end() && it->first == key;) {
    waiting.push_back(it->second);
    it = held_.erase(it);
  }
  for (const request_seq id : waiting) {
    record& record = *Find(id);
    record.origin_due.reset();
    record.taken_up_from = origin_source::kRecord;
    GoOnFrom(record, origin, now, out);
  }
}

void request_router::GoOnFrom(
    record& record,
    const std::optional<streams::stream_origin>& known,
    time_point now,
    effects& out) {
  const std::vector<pool_id>& pools = record.spec.route_pools;
  std::optional<streams::stream_origin> origin = known;
  // Nothing can be mixed up where targets name no versions.
  if (!origin && pools.size() == 1 && directory_.NamesNoVersions(pools[0])) {
    record.taken_up_from = origin_source::kNoVersions;
    origin = streams::stream_origin{.pool = pools[0], .version = {}};
  }
  if (!origin) {
    RefuseTakenUp(record, refusal_reason::kOriginUnknown, now, out);
    return;
  }
  if (std::find(pools.begin(), pools.end(), origin->pool) == pools.end()) {
    RefuseTakenUp(record, refusal_reason::kServiceChanged, now, out);
    return;
  }
  record.origin = origin;
  record.spec.pool = origin->pool;
  if (!HasTargetFor(record, now)) {
    RefuseTakenUp(record, refusal_reason::kVersionGone, now, out);
    return;
  }
  Admit(record, now, out);
}

void request_router::RefuseTakenUp(record& record,
                                   refusal_reason reason,
                                   time_point now,
                                   effects& out) {
  const request_seq id = record.spec.id;
  Apply(record.lifecycle.Refuse(reason), record, now, out);
  EraseIfDone(id);
}

void request_router::OnStreamBegan(record& record,
                                   time_point now,
                                   effects& out) {
  const request_spec& spec = record.spec;
  if (!spec.resumable || !record.grant) {
    return;
  }
  if (!record.origin) {
    record.origin = streams::stream_origin{.pool = spec.pool,
                                           .version = record.grant->version};
  }
  if (!spec.stream || record.began) {
    return;
  }
  record.began = true;
  const time_point until =
      record.lifecycle.arrived() +
      spec.time_limit.value_or(options_.lifecycle.total_timeout) + kTakeUpSlack;
  out.emplace_back(stream_began{
      .record = {.key = *spec.stream,
                 .origin = *record.origin,
                 .remaining =
                     std::chrono::ceil<std::chrono::milliseconds>(until - now)},
      .taken_up = spec.taken_up});
}

}  // namespace burdocklock::routing
