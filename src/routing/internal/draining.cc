// Part of request_router: which requests may still begin during a graceful
// shutdown. Load pattern: streams of many lengths keep arriving until callers
// have noticed it, and other routers can serve them.
#include <algorithm>
#include <vector>

#include "routing/request_router.h"

namespace burdocklock::routing {

using refusals::refusal_reason;

namespace {

// Margin of the predicted time, in standard deviations. A stream that is cut
// has cost its target's work, and is lost if it may not run twice; one that is
// refused needlessly costs its caller a try.
constexpr double kMargin = 0.5;
constexpr double kMarginIfLost = 1;

}  // namespace

void request_router::BeginDrain(const drain_window& window,
                                time_point now,
                                effects& out) {
  drain_ = window;
  std::vector<request_seq> waiting;
  for (const auto& [id, record] : records_) {
    if (record.lifecycle.waiting()) {
      waiting.push_back(id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const request_seq id : waiting) {
    record& record = *Find(id);
    RefuseIfTooLate(record, now, out);
    ScheduleDeadline(id, record);
    EraseIfDone(id);
  }
}

bool request_router::MayBegin(const record& record, time_point now) const {
  return now < LatestBegin(record);
}

time_point request_router::LatestBegin(const record& record) const {
  // What has run before is worth going on with to the end.
  if (!drain_ || record.lifecycle.may_have_run() || record.spec.taken_up) {
    return kNever;
  }
  const auto likely = LikelyLongest(record);
  if (!likely) {
    return kNever;
  }
  // What reaches its time limit before the cut is not cut.
  const bool has_limit = record.spec.time_limit.has_value();
  return has_limit && drain_->EndsBeforeCut(record.lifecycle.arrived(),
                                            *record.spec.time_limit)
             ? kNever
             : drain_->LatestBegin(*likely);
}

std::optional<duration> request_router::LikelyLongest(
    const record& record) const {
  const request_spec& spec = record.spec;
  const auto pool = pools_.find(spec.pool);
  if (!spec.prompt || spec.kind != call_kind::kStreamedGeneration ||
      pool == pools_.end()) {
    return std::nullopt;
  }
  return pool->second.pace.LikelyLongest(
      spec.prompt->ExpectedOutputTokens(),
      spec.repeatable ? kMargin : kMarginIfLost);
}

void request_router::RefuseIfTooLate(record& record,
                                     time_point now,
                                     effects& out) {
  if (record.lifecycle.waiting() && !MayBegin(record, now)) {
    Apply(record.lifecycle.Refuse(refusal_reason::kDraining), record, now, out);
  }
}

}  // namespace burdocklock::routing
