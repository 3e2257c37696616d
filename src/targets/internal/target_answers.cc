// Part of target_directory: targets that say in their answers that they leave,
// or that they want no requests from this router for some time.
#include <algorithm>

#include "targets/target_directory.h"

namespace burdocklock::targets {

bool target_directory::IsLeaving(const entry& entry) {
  return entry.said_leaving || entry.announced.state == target_state::kLeaving;
}

bool target_directory::IsLeaving(const slot_grant& grant) const {
  const auto found = entries_.find(grant.target);
  return found != entries_.end() &&
         found->second.announced.life == grant.life && IsLeaving(found->second);
}

bool target_directory::ReportLeaving(const slot_grant& grant) {
  entry* known = Find(grant);
  if (known == nullptr || known->said_leaving) {
    return false;
  }
  known->said_leaving = true;
  return true;
}

void target_directory::ReportOtherLeaving(const slot_grant& grant) {
  for (auto& [target, entry] : entries_) {
    if (target != grant.target && entry.announced.address == grant.address) {
      entry.said_leaving = true;
    }
  }
}

target_directory::pause_report target_directory::ReportPause(
    const slot_grant& grant,
    duration pause,
    time_point received,
    time_point now) {
  entry* known = Find(grant);
  const time_point end = received + pause;
  if (known == nullptr || end <= now || end <= known->asked_pause_until) {
    return pause_report::kNone;
  }
  const bool began = known->asked_pause_until <= now;
  known->asked_pause_until = end;
  known->ramp.OnFailure(grant.epoch, now);
  next_deadline_ = std::min(next_deadline_, NextDeadlineOf(*known, now));
  return began ? pause_report::kBegan : pause_report::kExtended;
}

bool target_directory::AllLeave(const pool_id& pool, time_point now) const {
  const auto found = by_pool_.find(pool);
  if (options_.leased || found == by_pool_.end()) {
    return false;
  }
  bool leaves = false;
  for (const entry* entry : found->second.all()) {
    if (IsLeaving(*entry)) {
      leaves = true;
    } else if (now - entry->last_heard < options_.silence && !entry->replaced &&
               !entry->unreachable_at) {
      return false;
    }
  }
  return leaves;
}

std::optional<time_point> target_directory::FirstPauseEnd(
    const pool_id& pool,
    time_point now) const {
  const auto found = by_pool_.find(pool);
  if (options_.leased || found == by_pool_.end()) {
    return std::nullopt;
  }
  time_point first = kNever;
  for (const entry* entry : found->second.all()) {
    if (!IsPresent(*entry, now)) {
      continue;
    }
    if (now >= entry->asked_pause_until) {
      return std::nullopt;
    }
    first = std::min(
        first, std::max(entry->asked_pause_until, entry->ramp.paused_until()));
  }
  return first == kNever ? std::nullopt : std::optional(first);
}

}  // namespace burdocklock::targets
