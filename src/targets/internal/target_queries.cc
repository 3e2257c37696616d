// Part of target_directory: queries about pools and single targets.
#include <algorithm>

#include "targets/target_directory.h"

namespace burdocklock::targets {

std::vector<pool_id> target_directory::Pools() const {
  std::vector<pool_id> pools;
  pools.reserve(by_pool_.size());
  for (const auto& [pool, entries] : by_pool_) {
    pools.push_back(pool);
  }
  std::sort(pools.begin(), pools.end());
  return pools;
}

std::vector<const announcement*> target_directory::TargetsInPool(
    const pool_id& pool) const {
  std::vector<const announcement*> targets;
  const auto found = by_pool_.find(pool);
  if (found == by_pool_.end()) {
    return targets;
  }
  for (const entry* entry : found->second.all()) {
    targets.push_back(&entry->announced);
  }
  std::sort(targets.begin(), targets.end(),
            [](const announcement* a, const announcement* b) {
              return a->target < b->target;
            });
  return targets;
}

bool target_directory::IsUsable(const target_id& target, time_point now) const {
  const auto found = entries_.find(target);
  return found != entries_.end() && IsUsable(found->second, now);
}

const announcement* target_directory::FindIncarnation(const target_id& target,
                                                      incarnation life) const {
  const auto found = entries_.find(target);
  return found != entries_.end() && found->second.announced.life == life
             ? &found->second.announced
             : nullptr;
}

time_point target_directory::HeardSince(const target_id& target) const {
  const auto found = entries_.find(target);
  return found == entries_.end() ? kNever : found->second.heard_since;
}

ramp_epoch target_directory::RampEpoch(const target_id& target) const {
  const auto found = entries_.find(target);
  return found == entries_.end() ? ramp_epoch() : found->second.ramp.epoch();
}

bool target_directory::HasUsable(const pool_id& pool, time_point now) const {
  if (options_.leased) {
    const auto found = capacity_.find(pool);
    return found != capacity_.end() && found->second > 0;
  }
  const auto found = by_pool_.find(pool);
  return found != by_pool_.end() &&
         std::any_of(found->second.all().begin(), found->second.all().end(),
                     [&](const entry* entry) {
                       return IsUsable(*entry, now) && entry->ramp.limit() > 0;
                     });
}

bool target_directory::HasOpenTarget(const pool_id& pool) const {
  const auto found = by_pool_.find(pool);
  return found != by_pool_.end() && !found->second.open().empty();
}

std::vector<pool_id> target_directory::PoolsOf(const target_id& target) const {
  const auto found = entries_.find(target);
  return found == entries_.end() ? std::vector<pool_id>{}
                                 : found->second.announced.pools;
}

bool target_directory::HasRoomAt(const target_id& target,
                                 time_point now) const {
  const auto found = entries_.find(target);
  return found != entries_.end() && IsUsable(found->second, now) &&
         HasRoom(found->second, true, now);
}

template <typename SlotsOf>
std::uint32_t target_directory::SumUsable(const pool_id& pool,
                                          time_point now,
                                          SlotsOf slots_of) const {
  const auto found = by_pool_.find(pool);
  if (found == by_pool_.end()) {
    return 0;
  }
  std::uint32_t slots = 0;
  for (const entry* entry : found->second.all()) {
    if (IsUsable(*entry, now)) {
      slots += slots_of(*entry);
    }
  }
  return slots;
}

std::uint32_t target_directory::UsableSlots(const pool_id& pool,
                                            time_point now) const {
  return SumUsable(pool, now,
                   [](const entry& entry) { return entry.ramp.limit(); });
}

std::uint32_t target_directory::UsableTargets(const pool_id& pool,
                                              time_point now) const {
  return SumUsable(pool, now, [](const entry&) { return 1U; });
}

std::uint32_t target_directory::AnnouncedSlots(const pool_id& pool,
                                               time_point now) const {
  const auto found = by_pool_.find(pool);
  if (found == by_pool_.end()) {
    return 0;
  }
  std::uint32_t slots = 0;
  for (const entry* entry : found->second.all()) {
    slots += IsCounted(pool, *entry, now) ? entry->announced.slots : 0;
  }
  return slots;
}

std::vector<target_view> target_directory::View(time_point now) const {
  std::vector<target_view> views;
  views.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    views.push_back(
        {.announced = entry.announced,
         .in_flight = entry.in_flight,
         .limit = LimitOf(entry),
         .ramp_limit =
             options_.leased ? entry.lease_ramp_limit : entry.ramp.limit(),
         .learned_limit = entry.LearnedLimit(),
         .expected_ms = ExpectedMs(entry),
         .phase = entry.ramp.phase(),
         .silent = now - entry.last_heard >= options_.silence,
         .paused = entry.ramp.paused_until() > now,
         .said_leaving = entry.said_leaving,
         .asked_pause =
             std::max(entry.asked_pause_until - now, duration::zero()),
         .since_heard = now - entry.last_heard,
         .slot_part = entry.shares_slot_time ? std::optional(entry.slot_part)
                                             : std::nullopt});
  }
  std::sort(views.begin(), views.end(),
            [](const target_view& a, const target_view& b) {
              return a.announced.target < b.announced.target;
            });
  return views;
}

std::optional<std::uint32_t> target_directory::RampLimit(
    const target_id& target) const {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second.ramp.limit();
}

}  // namespace burdocklock::targets
