// Applies announcements to the known targets, and removes silent ones. Results
// of requests are in target_results.cc, queries in target_queries.cc, leases in
// target_leases.cc, target selection is in target_choice.cc and
// prompt_placement.cc.
#include "targets/target_directory.h"

#include <algorithm>
#include <chrono>

#include "targets/rendezvous.h"

namespace burdocklock::targets {

namespace {

// The time at which an announcement was received is known as an age, without
// its way on links, and a target sends it somewhat earlier. A stream must not
// go on for that; a connection that is refused again does no harm.
constexpr std::chrono::milliseconds kHeardMargin{100};

void ForgetBefore(std::optional<time_point>& mark, time_point heard) {
  if (mark && *mark <= heard) {
    mark.reset();
  }
}

}  // namespace

target_directory::target_directory(directory_options options, i_random& random)
    : options_(std::move(options)), random_(random) {}

announce_result target_directory::Announce(const announcement& announcement,
                                           time_point heard,
                                           time_point now) {
  NoteVersion(announcement, heard, now);
  const auto found = entries_.find(announcement.target);
  if (found == entries_.end()) {
    const double place =
        RendezvousPlace(announcement.target.value(), options_.self.value());
    entry fresh{
        .announced = announcement,
        .ramp = admission_ramp(announcement.slots, announcement.cold_slots,
                               options_.ramp),
        .last_heard = heard,
        .heard_since = heard,
        .rate_share = RateShare(announcement.target, options_.self, routers_),
        .place = place,
        .first_grant = last_grant_ + 1,
        .slot_time = slot_time_share(place, now)};
    const auto [added, inserted] =
        entries_.emplace(announcement.target, std::move(fresh));
    UpdateDataCentre(added->second);
    IndexPools(added->second);
    UpdateSlotTime(added->second);
    UpdateOpen(added->second);
    ApplyColdPeriod(added->second, now);
    next_deadline_ = std::min(next_deadline_, heard + options_.silence);
    return announce_result::kNew;
  }
  entry& known = found->second;
  if (IsStale(known, announcement)) {
    return announce_result::kStale;
  }
  const bool other_run = IsOtherRun(known.announced, announcement);
  if (other_run) {
    Replace(known, announcement);
    known.slot_time = slot_time_share(known.place, now);
  } else {
    Refresh(known, announcement);
  }
  UpdateSlotTime(known);
  ApplyColdPeriod(known, now);
  NoteHeard(known, heard, now);
  return other_run ? announce_result::kNewIncarnation
                   : announce_result::kUpdated;
}

void target_directory::NoteHeard(entry& known,
                                 time_point heard,
                                 time_point now) {
  if (heard - known.last_heard > options_.silence / 2) {
    known.heard_since = heard;
  }
  known.last_heard = std::max(known.last_heard, heard);
  if (now - known.last_heard < options_.silence) {
    known.silence_reported = false;
  }
  ForgetBefore(known.unreachable_at, heard);
  ForgetBefore(known.broken_at, heard - kHeardMargin);
  next_deadline_ =
      std::min(next_deadline_, known.last_heard + options_.silence);
}

bool target_directory::IsStale(const entry& known,
                               const announcement& announcement) const {
  if (announcement.life != known.announced.life) {
    return announcement.life < known.announced.life;
  }
  if (announcement.sequence > 0 && known.announced.sequence > 0) {
    return announcement.sequence <= known.announced.sequence;
  }
  if (announcement.load && known.announced.load) {
    return announcement.load->at_ms <= known.announced.load->at_ms;
  }
  // Reports that cannot be ordered: leaving is final within an incarnation.
  return known.announced.state == target_state::kLeaving &&
         announcement.state != target_state::kLeaving;
}

void target_directory::Replace(entry& known, const announcement& announcement) {
  UnindexPools(known);
  known.announced = announcement;
  UpdateDataCentre(known);
  known.ramp = admission_ramp(announcement.slots, announcement.cold_slots,
                              options_.ramp);
  // Grants of the previous incarnation ended with it.
  known.in_flight = 0;
  known.unread.clear();
  known.unread_tokens = 0;
  known.prefixes.Clear();
  known.cold_until = {};
  known.rate_limit = {};
  known.learned.reset();
  known.told_limit = 0;
  known.probed = {};
  known.replaced = false;
  known.unreachable_at.reset();
  known.broken_at.reset();
  known.first_grant = last_grant_ + 1;
  known.said_leaving = false;
  known.asked_pause_until = {};
  IndexPools(known);
  UpdateOpen(known);
}

void target_directory::Refresh(entry& known, const announcement& announcement) {
  const bool started = known.announced.state != target_state::kReady &&
                       announcement.state == target_state::kReady;
  const bool was_warm = known.ramp.phase() == ramp_phase::kWarm;
  if (known.announced.slots != announcement.slots) {
    known.learned.reset();
  }
  AdoptIndexed(known, announcement);
  known.ramp.Resize(announcement.slots, announcement.cold_slots);
  if (was_warm) {
    known.ramp.RaiseTo(announcement.slots);
  }
  if (started) {
    known.ramp.Reset();
  }
}

void target_directory::AdoptIndexed(entry& known,
                                    const announcement& announcement) {
  const bool same_pools = known.announced.pools == announcement.pools;
  if (!same_pools) {
    UnindexPools(known);
  }
  Adopt(known, announcement);
  UpdateDataCentre(known);
  if (!same_pools) {
    IndexPools(known);
  }
  UpdateOpen(known);
}

void target_directory::SetDataCentreOut(const data_centre_id& data_centre,
                                        bool out,
                                        time_point now) {
  bool& current = data_centres_out_[data_centre];
  if (current == out) {
    return;
  }
  current = out;
  for (auto& [id, entry] : entries_) {
    UpdateDataCentre(entry);
  }
  if (out) {
    return;
  }
  for (auto& [id, entry] : entries_) {
    if (entry.announced.data_centre != data_centre) {
      continue;
    }
    entry.ramp.Reset();
    for (const pool_id& pool : entry.announced.pools) {
      const auto terms = cold_limits_.find(pool);
      if (terms != cold_limits_.end()) {
        entry.cold_until = std::max(entry.cold_until, now + terms->second.time);
        entry.ramp.RaiseTo(entry.announced.slots);
      }
    }
  }
}

bool target_directory::IsDataCentreOut(
    const data_centre_id& data_centre) const {
  const auto found = data_centres_out_.find(data_centre);
  return found != data_centres_out_.end() && found->second;
}

std::vector<data_centre_id> target_directory::OutOfService() const {
  std::vector<data_centre_id> found;
  for (const auto& [data_centre, out] : data_centres_out_) {
    if (out) {
      found.push_back(data_centre);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::vector<target_id> target_directory::CollectSilent(time_point now) {
  std::vector<target_id> silent;
  next_deadline_ = kNever;
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& entry = it->second;
    const duration since_heard = now - entry.last_heard;
    if (since_heard >= options_.retention && entry.in_flight == 0) {
      UnindexPools(entry);
      it = entries_.erase(it);
      continue;
    }
    if (!entry.silence_reported && since_heard >= options_.silence) {
      entry.silence_reported = true;
      // The target may have restarted during the silence.
      entry.ramp.Reset();
      silent.push_back(it->first);
    }
    next_deadline_ = std::min(next_deadline_, NextDeadlineOf(entry, now));
    ++it;
  }
  return silent;
}

time_point target_directory::NextDeadlineOf(const entry& entry,
                                            time_point now) const {
  const time_point heard_deadline =
      entry.last_heard +
      (entry.silence_reported ? options_.retention : options_.silence);
  // After the retention period the entry is kept only for requests still in
  // flight.
  const time_point next =
      heard_deadline > now ? heard_deadline : now + options_.silence;
  const time_point resume =
      std::max(entry.ramp.paused_until(), entry.asked_pause_until);
  return resume > now ? std::min(next, resume) : next;
}

bool target_directory::IsPresent(const entry& entry, time_point now) const {
  const bool is_available =
      options_.leased ? entry.lease_limit > 0 : !entry.unreachable_at;
  return is_available && MayServe(entry, now) &&
         entry.announced.state == target_state::kReady;
}

bool target_directory::IsInService(const entry& entry, time_point now) const {
  return IsPresent(entry, now) &&
         (options_.leased || now >= entry.ramp.paused_until());
}

bool target_directory::IsUsable(const entry& entry, time_point now) const {
  return IsInService(entry, now) && now >= entry.asked_pause_until;
}

std::uint32_t target_directory::LimitOf(const entry& entry) const {
  return options_.leased ? entry.lease_limit
                         : std::min(entry.ramp.limit(), entry.LearnedLimit());
}

bool target_directory::HasRoom(const entry& entry,
                               bool is_retry,
                               time_point now) const {
  if (entry.in_flight >= LimitOf(entry) || !entry.HasFreeSlot() ||
      !entry.IsBelowLearnedLimit()) {
    return false;
  }
  const double part =
      is_retry ? std::max(entry.slot_part, entry.retry_part) : entry.slot_part;
  if (entry.shares_slot_time &&
      !entry.slot_time.MayBegin(part, entry.in_flight, now)) {
    return false;
  }
  if (!entry.rate_limit.HasRoom(rate_fraction_ * entry.rate_share, now)) {
    return false;
  }
  return now >= entry.cold_until || entry.cold.HasToken(ColdRate(entry), now);
}

target_directory::entry* target_directory::Find(const target_id& target,
                                                incarnation life) {
  const auto found = entries_.find(target);
  if (found == entries_.end() || found->second.announced.life != life) {
    return nullptr;
  }
  return &found->second;
}

target_directory::entry* target_directory::Find(const slot_grant& grant) {
  entry* known = Find(grant.target, grant.life);
  return known != nullptr && grant.number >= known->first_grant ? known
                                                                : nullptr;
}

void target_directory::IndexPools(entry& entry) {
  for (const pool_id& pool : entry.announced.pools) {
    by_pool_[pool].Add(&entry);
  }
}

void target_directory::UnindexPools(entry& entry) {
  for (const pool_id& pool : entry.announced.pools) {
    by_pool_[pool].Remove(&entry);
  }
}

void target_directory::UpdateOpen(entry& entry) {
  if (entry.is_open == entry.HasFreeSlot()) {
    return;
  }
  entry.is_open = !entry.is_open;
  for (const pool_id& pool : entry.announced.pools) {
    by_pool_[pool].UpdateOpen(&entry);
  }
}

void target_directory::UpdateDataCentre(entry& entry) const {
  const data_centre_id& data_centre = entry.announced.data_centre;
  entry.is_local = data_centre == options_.local_data_centre;
  entry.data_centre_out = IsDataCentreOut(data_centre);
}

}  // namespace burdocklock::targets
