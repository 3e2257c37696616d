// Part of request_router: evidence about requests that end their targets, and
// refusal of those that do.
#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "routing/request_router.h"

namespace burdocklock::routing {

using refusals::refusal_reason;

namespace {

// A target that still runs this long after it began to answer a request was not
// ended by it.
constexpr std::chrono::milliseconds kServedAfter{500};
// A request that was at this many targets when they ended is not sent to
// another one.
constexpr std::uint32_t kMaxEndedTargets = 2;
// Without a usable target no trial can be made.
constexpr std::chrono::seconds kTrialWait{1};

}  // namespace

std::optional<crashes::active_block> request_router::BlockedFor(
    const record& record,
    time_point now) const {
  if (const auto block = guard_.BlockedFor(record.suspects, now)) {
    return block;
  }
  const auto kind = guard_.AwaitsTrial(record.suspects, now);
  if (!kind || directory_.HasUsable(record.spec.pool, now)) {
    return std::nullopt;
  }
  // Requests that wait at all routers would reach the first target that comes
  // back, before the outcome of one of them is known.
  return crashes::active_block{.remaining = kTrialWait, .kind = *kind};
}

refusal_reason request_router::ReasonOf(const crashes::active_block& block) {
  return block.kind == crashes::suspect_kind::kPart
             ? refusal_reason::kPromptBlocked
             : refusal_reason::kRequestBlocked;
}

void request_router::RecordEvidence(record& record,
                                    const attempt_event& event,
                                    time_point now) {
  if (record.served) {
    return;
  }
  if (std::holds_alternative<attempt_first_output>(event)) {
    record.output_began = now;
  }
  if (const auto* failure = std::get_if<attempt_failed>(&event)) {
    // A late report of the failure, as after a suspension of this process, must
    // not pass for a target that ran on.
    if (failure->target_ended) {
      OnTargetEnded(record, now);
    }
    return;
  }
  record.served =
      std::holds_alternative<attempt_completed>(event) ||
      (record.output_began && now - *record.output_began >= kServedAfter);
  if (record.served) {
    guard_.OnServed(record.suspects, ServedSince(record, now), now);
  }
}

time_point request_router::ServedSince(const record& record, time_point now) {
  // The answer of a plain call does not tell when it began to run: it may have
  // been before another target ended with the same request.
  return record.output_began.value_or(
      record.spec.kind == call_kind::kServiceCall ? record.dispatched : now);
}

void request_router::OnTargetEnded(record& record, time_point now) {
  const targets::slot_grant& grant = *record.grant;
  if (directory_.IsLeaving(grant)) {
    return;
  }
  ++record.ended_targets;
  guard_.OnTargetEnded(grant.target, grant.life, record.suspects, now);
}

bool request_router::MayEndNextTarget(const record& record,
                                      const attempt_failed& failure,
                                      time_point now) const {
  if (!failure.target_ended || record.served) {
    return false;
  }
  return record.ended_targets >= kMaxEndedTargets ||
         guard_.HasEndedSeveral(record.suspects) ||
         (record.spec.prompt && !guard_.IsTrusted(record.suspects, now));
}

void request_router::OnEvidence(const crashes::evidence& received,
                                time_point now,
                                effects& out) {
  guard_.OnEvidence(received, now);
  ApplyBlocks(now, out);
}

void request_router::ApplyBlocks(time_point now, effects& out) {
  for (const crashes::block_change& change : guard_.TakeChanges()) {
    out.emplace_back(
        suspect_block_changed{.suspect = change.key,
                              .blocked = change.blocked,
                              .target_ends = change.ends,
                              .times_blocked = change.times_blocked,
                              .remaining = change.remaining});
  }
  if (!guard_.HasBlocks() || totals_.waiting == 0) {
    return;
  }
  std::vector<std::pair<request_seq, refusal_reason>> blocked;
  for (const auto& [id, record] : records_) {
    if (!record.lifecycle.waiting()) {
      continue;
    }
    if (const auto block = BlockedFor(record, now)) {
      blocked.emplace_back(id, ReasonOf(*block));
    }
  }
  std::sort(blocked.begin(), blocked.end());
  for (const auto& [id, reason] : blocked) {
    record& record = *Find(id);
    Apply(record.lifecycle.Refuse(reason), record, now, out);
    EraseIfDone(id);
  }
}

}  // namespace burdocklock::routing
