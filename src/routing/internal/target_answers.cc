// Part of request_router: what targets say of themselves in their answers.
#include <variant>

#include "routing/request_router.h"

namespace burdocklock::routing {

namespace {

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
  return head->leaving && ReportLeaving(record, out);
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

}  // namespace burdocklock::routing
