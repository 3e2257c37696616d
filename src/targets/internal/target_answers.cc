// Part of target_directory: targets that say in their answers that they leave.
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
  entry* known = Find(grant.target, grant.life);
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

bool target_directory::AllLeave(const pool_id& pool, time_point now) const {
  const auto found = by_pool_.find(pool);
  if (options_.leased || found == by_pool_.end()) {
    return false;
  }
  bool leaves = false;
  for (const entry* entry : found->second) {
    if (IsLeaving(*entry)) {
      leaves = true;
    } else if (now - entry->last_heard < options_.silence && !entry->replaced &&
               !entry->unreachable) {
      return false;
    }
  }
  return leaves;
}

}  // namespace burdocklock::targets
