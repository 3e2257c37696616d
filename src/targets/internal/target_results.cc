// Part of target_directory: results of requests, which free slots and move the
// limits of targets.
#include <algorithm>

#include "targets/target_directory.h"

namespace burdocklock::targets {

bool target_directory::ReportFirstOutput(const slot_grant& grant,
                                         duration latency) {
  entry* known = Find(grant);
  if (known == nullptr) {
    return false;
  }
  UpdateProcessingRate(*known, grant, latency);
  const auto begun = known->unread.find(grant.number);
  if (begun != known->unread.end()) {
    known->prefixes.MarkProcessed(begun->second.parts);
  }
  RemoveUnread(*known, grant.number);
  if (!known->ramp.OnFirstOutput(grant.epoch, latency)) {
    return false;
  }
  if (options_.leased) {
    EvidenceOf(grant).first_output_jumped = true;
    known->lease_limit =
        std::min(known->lease_limit, known->announced.cold_slots);
  }
  return true;
}

bool target_directory::ReleaseSucceeded(const slot_grant& grant) {
  entry* known = Find(grant);
  if (known == nullptr) {
    return false;
  }
  --known->in_flight;
  UpdateOpen(*known);
  RemoveUnread(*known, grant.number);
  if (options_.leased) {
    ++EvidenceOf(grant).successes;
    revoked_slot_freed_ |= known->in_flight >= known->lease_limit;
  }
  return known->ramp.OnSuccess(grant.epoch);
}

void target_directory::ReleaseFailed(const slot_grant& grant, time_point now) {
  entry* known = Find(grant);
  if (known == nullptr) {
    return;
  }
  --known->in_flight;
  UpdateOpen(*known);
  RemoveUnread(*known, grant.number);
  if (options_.leased) {
    ++EvidenceOf(grant).failures;
    // No new requests until the lessor has processed the failure report.
    known->lease_limit = 0;
  }
  known->ramp.OnFailure(grant.epoch, now);
  if (known->ramp.paused_until() > now) {
    next_deadline_ = std::min(next_deadline_, known->ramp.paused_until());
  }
}

void target_directory::ReleaseNeutral(const slot_grant& grant) {
  if (entry* known = Find(grant)) {
    --known->in_flight;
    UpdateOpen(*known);
    RemoveUnread(*known, grant.number);
    revoked_slot_freed_ |=
        options_.leased && known->in_flight >= known->lease_limit;
  }
}

void target_directory::RecordSuccesses(const target_id& target,
                                       incarnation life,
                                       ramp_epoch epoch,
                                       std::uint32_t count) {
  if (entry* known = Find(target, life)) {
    known->ramp.OnSuccesses(epoch, count);
  }
}

void target_directory::RecordFailure(const target_id& target,
                                     incarnation life,
                                     ramp_epoch epoch,
                                     time_point now) {
  entry* known = Find(target, life);
  if (known == nullptr) {
    return;
  }
  known->ramp.OnFailure(epoch, now);
  next_deadline_ = std::min(next_deadline_, NextDeadlineOf(*known, now));
}

void target_directory::RecordLatencyJump(const target_id& target,
                                         incarnation life,
                                         ramp_epoch epoch) {
  if (entry* known = Find(target, life)) {
    known->ramp.OnLatencyJump(epoch);
  }
}

void target_directory::RaiseLimit(const target_id& target,
                                  incarnation life,
                                  std::uint32_t limit) {
  if (entry* known = Find(target, life)) {
    known->ramp.RaiseTo(limit);
  }
}

}  // namespace burdocklock::targets
