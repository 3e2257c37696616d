// Leased slots, and the results to be reported to the lessor. See
// target_directory.h.
#include <algorithm>

#include "targets/target_directory.h"

namespace burdocklock::targets {

void target_directory::ApplyLeases(const data_centre_id& data_centre,
                                   const std::vector<target_lease>& leases,
                                   time_point valid_until,
                                   time_point now) {
  for (auto& [id, entry] : entries_) {
    if (entry.announced.data_centre == data_centre) {
      entry.lease_limit = 0;
    }
  }
  for (const target_lease& lease : leases) {
    auto known = entries_.find(lease.target.target);
    if (known == entries_.end()) {
      Announce(lease.target, now);
      known = entries_.find(lease.target.target);
    } else if (lease.target.life < known->second.announced.life) {
      continue;
    } else if (IsOtherRun(known->second.announced, lease.target)) {
      Replace(known->second, lease.target);
    } else {
      AdoptIndexed(known->second, lease.target);
    }
    entry& entry = known->second;
    entry.last_heard = now;
    entry.broken_at.reset();
    entry.lease_limit = lease.limit;
    entry.lease_ramp_limit = lease.ramp_limit;
    entry.lease_epoch = lease.epoch;
    entry.lease_until = valid_until;
  }
}

bool target_directory::ReleaseIdleLeases(const pool_id& pool) {
  const auto found = by_pool_.find(pool);
  if (found == by_pool_.end()) {
    return false;
  }
  bool any = false;
  for (entry* entry : found->second.all()) {
    if (entry->lease_limit > entry->in_flight) {
      entry->lease_limit = entry->in_flight;
      any = true;
    }
  }
  return any;
}

std::uint32_t target_directory::FreeLeased(const pool_id& pool,
                                           time_point now) const {
  const auto found = by_pool_.find(pool);
  std::uint32_t free = 0;
  if (found == by_pool_.end()) {
    return free;
  }
  for (const entry* entry : found->second.all()) {
    if (IsUsable(*entry, now) && HasRoom(*entry, false, now)) {
      free += entry->lease_limit - entry->in_flight;
    }
  }
  return free;
}

void target_directory::SetPoolCapacity(const pool_id& pool,
                                       std::uint32_t slots) {
  capacity_[pool] = slots;
}

std::vector<lease_evidence> target_directory::TakeEvidence(
    const data_centre_id& data_centre) {
  std::vector<lease_evidence> taken;
  revoked_slot_freed_ = false;
  std::erase_if(evidence_, [&](const auto& entry) {
    if (entry.first != data_centre) {
      return false;
    }
    taken.push_back(entry.second);
    return true;
  });
  return taken;
}

lease_evidence& target_directory::EvidenceOf(const slot_grant& grant) {
  for (auto& [data_centre, evidence] : evidence_) {
    if (evidence.target == grant.target && evidence.life == grant.life &&
        evidence.epoch == grant.lease_epoch) {
      return evidence;
    }
  }
  evidence_.emplace_back(grant.data_centre,
                         lease_evidence{.target = grant.target,
                                        .life = grant.life,
                                        .epoch = grant.lease_epoch});
  return evidence_.back().second;
}

std::vector<target_directory::held_lease> target_directory::Leases(
    const data_centre_id& data_centre) const {
  std::vector<held_lease> held;
  for (const auto& [id, entry] : entries_) {
    if (entry.announced.data_centre == data_centre &&
        (entry.lease_limit > 0 || entry.in_flight > 0)) {
      held.push_back({.target = id,
                      .life = entry.announced.life,
                      .limit = entry.lease_limit,
                      .in_use = entry.in_flight,
                      .ramp_limit = entry.lease_ramp_limit});
    }
  }
  return held;
}

bool target_directory::HasUrgentEvidence() const {
  return revoked_slot_freed_ ||
         std::any_of(
             evidence_.begin(), evidence_.end(), [this](const auto& entry) {
               const lease_evidence& seen = entry.second;
               const auto known = entries_.find(seen.target);
               const std::uint32_t limit =
                   known == entries_.end() ? 0 : known->second.lease_ramp_limit;
               const bool still_ramping = known != entries_.end() &&
                                          limit < known->second.announced.slots;
               return seen.failures > 0 || seen.first_output_jumped ||
                      (still_ramping && seen.successes >= limit);
             });
}

}  // namespace burdocklock::targets
