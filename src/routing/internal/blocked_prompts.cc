// Part of request_router: evidence about prompts that end their targets, and
// refusal of those that do.
#include <algorithm>
#include <variant>
#include <vector>

#include "routing/request_router.h"

namespace burdocklock::routing {

using refusals::refusal_reason;

namespace {

// A target that still runs this long after it began to answer a prompt was not
// ended by it.
constexpr std::chrono::milliseconds kServedAfter{500};
// A request that was at this many targets when they ended is not sent to
// another one.
constexpr std::uint32_t kMaxEndedTargets = 2;

}  // namespace

std::optional<duration> request_router::BlockedFor(const request_spec& spec,
                                                   time_point now) const {
  return spec.prompt ? guard_.BlockedFor(spec.pool, *spec.prompt, now)
                     : std::nullopt;
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
  if (record.served && record.spec.prompt) {
    guard_.OnServed(record.spec.pool, *record.spec.prompt,
                    record.output_began.value_or(now), now);
  }
}

void request_router::OnTargetEnded(record& record, time_point now) {
  const targets::slot_grant& grant = *record.grant;
  const targets::announcement* known =
      directory_.FindIncarnation(grant.target, grant.life);
  if (known != nullptr && known->state == targets::target_state::kLeaving) {
    return;
  }
  ++record.ended_targets;
  if (record.spec.prompt) {
    guard_.OnTargetEnded(grant.target, grant.life, record.spec.pool,
                         *record.spec.prompt, now);
  }
}

bool request_router::MayEndNextTarget(const record& record,
                                      const attempt_failed& failure,
                                      time_point now) const {
  if (!failure.target_ended || record.served) {
    return false;
  }
  return record.ended_targets >= kMaxEndedTargets ||
         (record.spec.prompt &&
          !guard_.IsTrusted(record.spec.pool, *record.spec.prompt, now));
}

void request_router::OnEvidence(const crashes::evidence& received,
                                time_point now,
                                effects& out) {
  guard_.OnEvidence(received, now);
  ApplyBlocks(now, out);
}

void request_router::ApplyBlocks(time_point now, effects& out) {
  for (const crashes::block_change& change : guard_.TakeChanges()) {
    out.emplace_back(prompt_block_changed{.pool = change.key.pool,
                                          .part = change.key.part,
                                          .blocked = change.blocked,
                                          .target_ends = change.ends,
                                          .times_blocked = change.times_blocked,
                                          .remaining = change.remaining});
  }
  if (!guard_.HasBlocks() || totals_.waiting == 0) {
    return;
  }
  std::vector<request_seq> blocked;
  for (const auto& [id, record] : records_) {
    if (record.lifecycle.waiting() && BlockedFor(record.spec, now)) {
      blocked.push_back(id);
    }
  }
  std::sort(blocked.begin(), blocked.end());
  for (const request_seq id : blocked) {
    record& record = *Find(id);
    Apply(record.lifecycle.Refuse(refusal_reason::kPromptBlocked), record, now,
          out);
    EraseIfDone(id);
  }
}

}  // namespace burdocklock::routing
