// Part of request_router: what targets say of themselves in their answers.
#include <algorithm>
#include <variant>

#include "routing/request_router.h"

namespace burdocklock::routing {

namespace {

// An answer later than its objective earns little, and by this part of it the
// request must be at a target.
constexpr int kPauseWaitDivisor = 2;

const answer_head* HeadOf(const attempt_event& event) {
  if (const auto* read = std::get_if<attempt_head_read>(&event)) {
    return &read->head;
  }
  if (const auto* begun = std::get_if<attempt_first_output>(&event)) {
    return &begun->head;
  }
  const auto* failure = std::get_if<attempt_failed>(&event);
  return failure != nullptr && failure->head ? &*failure->head : nullptr;
}

bool IsOfOtherTarget(const attempt_event& event) {
  const auto* failure = std::get_if<attempt_failed>(&event);
  return failure != nullptr && failure->kind == failure_kind::kOtherTarget;
}

}  // namespace

bool request_router::ApplyAnswerHead(const record& record,
                                     const attempt_event& event,
                                     time_point now,
                                     effects& out) {
  const answer_head* head = HeadOf(event);
  if (head == nullptr) {
    return false;
  }
  if (IsOfOtherTarget(event)) {
    if (head->leaving) {
      directory_.ReportOtherLeaving(*record.grant);
    }
    return head->leaving;
  }
  ReportRateLimit(record, *head, out);
  const bool leaves = head->leaving && ReportLeaving(record, out);
  return ReportPause(record, *head, now, out) || leaves;
}

void request_router::ReportRateLimit(const record& record,
                                     const answer_head& head,
                                     effects& out) {
  if (directory_.ReportRateLimit(*record.grant, head.rate_limit,
                                 head.received)) {
    out.emplace_back(rate_limit_changed{.target = record.grant->target,
                                        .per_second = head.rate_limit});
  }
}

bool request_router::ReportLeaving(const record& record, effects& out) {
  if (!directory_.ReportLeaving(*record.grant)) {
    return false;
  }
  out.emplace_back(target_leaves{.target = record.grant->target,
                                 .life = record.grant->life});
  return true;
}

bool request_router::ReportPause(const record& record,
                                 const answer_head& head,
                                 time_point now,
                                 effects& out) {
  using report = targets::target_directory::pause_report;
  if (!head.pause) {
    return false;
  }
  const report reported =
      directory_.ReportPause(*record.grant, *head.pause, head.received, now);
  if (reported == report::kBegan) {
    out.emplace_back(
        target_pause_began{.target = record.grant->target,
                           .remaining = head.received + *head.pause - now});
    ReportRamp(record.grant->target, "asked_pause", out);
  }
  return reported != report::kNone;
}

bool request_router::MayAwaitPauseEnd(const record& record,
                                      time_point end) const {
  if (end >= record.lifecycle.deadline()) {
    return false;
  }
  const duration objective =
      record.spec.latency_objective.value_or(duration::zero());
  // The caller of a stream that has begun cannot come back for the rest.
  return record.lifecycle.resuming() ||
         end <= record.lifecycle.arrived() +
                    std::max(options_.no_target_wait,
                             objective / kPauseWaitDivisor);
}

}  // namespace burdocklock::routing
