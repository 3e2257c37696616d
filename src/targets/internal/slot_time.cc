// Part of target_directory: targets of services that have fewer slots than
// there are routers, which share the time of the slots (design note 010).
#include <algorithm>

#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// Slots; less is left by rounding where a router's part ends.
constexpr double kLeastSlots = 1e-9;

}  // namespace

bool target_directory::IsSmall(const announcement& announcement) const {
  return !options_.leased && announcement.kind == target_kind::kService &&
         routers_.size() > announcement.slots;
}

bool target_directory::SharesSlotTime(const announcement& announcement) const {
  const std::vector<pool_id>& pools = announcement.pools;
  return IsSmall(announcement) &&
         std::any_of(pools.begin(), pools.end(), [this](const pool_id& pool) {
           return demand_parts_.contains(pool);
         });
}

void target_directory::UpdateSlotTime(entry& entry) {
  entry.shares_slot_time = SharesSlotTime(entry.announced);
  UpdateOpen(entry);
}

void target_directory::SetDemandPart(const pool_id& pool,
                                     const demand_part& part,
                                     time_point now) {
  const bool is_new = demand_parts_.insert_or_assign(pool, part).second;
  const auto targets = by_pool_.find(pool);
  if (targets == by_pool_.end()) {
    return;
  }
  if (is_new) {
    for (entry* target : targets->second.all()) {
      UpdateSlotTime(*target);
    }
  }
  const std::vector<entry*>& all = targets->second.all();
  std::vector<bool> was_used;
  was_used.reserve(all.size());
  for (entry* target : all) {
    was_used.push_back(target->slot_part > 0);
    target->slot_time.Settle(std::max(target->slot_part, target->retry_part),
                             now);
    target->retry_part = part.allowance * part.own * target->announced.slots;
    target->slot_part = 0;
  }
  const double lost = DivideSlots(all, part, now);
  if (lost > 0) {
    SpreadSlots(all, lost, now);
  }
  for (entry* target : all) {
    if (target->announced.pools.size() > 1) {
      ShareAmongPools(*target, pool);
    }
  }
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (all[i]->slot_part > 0 && !was_used[i]) {
      all[i]->slot_time.Restart(all[i]->slot_part);
    }
  }
}

void target_directory::ShareAmongPools(entry& target,
                                       const pool_id& derived) const {
  target.pool_parts[derived] = {.slot_part = target.slot_part,
                                .retry_part = target.retry_part};
  double demand = 0;
  double slot_part = 0;
  double retry_part = 0;
  for (const pool_id& pool : target.announced.pools) {
    const auto part = demand_parts_.find(pool);
    const auto there = target.pool_parts.find(pool);
    // Of another pool nothing may have been derived yet.
    if (part != demand_parts_.end() && there != target.pool_parts.end()) {
      demand += part->second.demand;
      slot_part += part->second.demand * there->second.slot_part;
      retry_part += part->second.demand * there->second.retry_part;
    }
  }
  if (demand > 0) {
    target.slot_part = slot_part / demand;
    target.retry_part = retry_part / demand;
  }
}

bool target_directory::IsKnownReady(const entry& entry, time_point now) const {
  return entry.announced.state == target_state::kReady &&
         !entry.data_centre_out && now - entry.last_heard < options_.silence;
}

bool target_directory::MayHold(const entry& entry, time_point now) const {
  return IsUsable(entry, now) && !entry.slot_time.IsStuck(entry.in_flight, now);
}

double target_directory::DivideSlots(const std::vector<entry*>& targets,
                                     const demand_part& part,
                                     time_point now) const {
  // Those that all routers know of alike, so that all divide the same slots.
  std::vector<entry*> known;
  double slots = 0;
  for (entry* target : targets) {
    if (IsKnownReady(*target, now)) {
      known.push_back(target);
      slots += target->announced.slots;
    }
  }
  std::sort(known.begin(), known.end(), [](const entry* a, const entry* b) {
    return a->announced.target < b->announced.target;
  });
  double first = 0;
  double lost = 0;
  for (entry* target : known) {
    const double last = first + target->announced.slots;
    const double from = std::max(first, part.before * slots);
    const double to = std::min(last, (part.before + part.own) * slots);
    const double there = to - from > kLeastSlots ? to - from : 0;
    first = last;
    if (MayHold(*target, now)) {
      target->slot_part = part.allowance * there;
    } else {
      lost += there;
    }
  }
  return lost;
}

void target_directory::SpreadSlots(const std::vector<entry*>& targets,
                                   double part,
                                   time_point now) const {
  // Others may not know that a target is lost and go on with their whole parts
  // of the rest: of what it had, only as much as its slots leave is used there.
  double known_slots = 0;
  for (const entry* target : targets) {
    known_slots += IsKnownReady(*target, now) ? target->announced.slots : 0;
  }
  for (entry* target : targets) {
    if (MayHold(*target, now) && known_slots > 0) {
      target->slot_part += part * target->announced.slots / known_slots;
    }
  }
}

bool target_directory::HasSmallTargets(const pool_id& pool) const {
  const auto targets = by_pool_.find(pool);
  return targets != by_pool_.end() && !targets->second.all().empty() &&
         IsSmall(targets->second.all().front()->announced);
}

time_point target_directory::NextSlotTime(const pool_id& pool,
                                          time_point now) const {
  const auto targets = by_pool_.find(pool);
  time_point next = kNever;
  if (targets == by_pool_.end()) {
    return next;
  }
  // This router's part may lie at any of them, and at few.
  for (const entry* candidate : targets->second.open()) {
    if (candidate->shares_slot_time && candidate->slot_part > 0 &&
        IsUsable(*candidate, now)) {
      const time_point begin =
          candidate->slot_time.NextBegin(candidate->slot_part, now);
      next = begin > now ? std::min(next, begin) : next;
    }
  }
  return next;
}

bool target_directory::OnSlotTimeEnded(const slot_grant& grant,
                                       duration at_target,
                                       slot_time_share::ending how,
                                       time_point now) {
  entry* known = Find(grant);
  if (known == nullptr || !known->shares_slot_time) {
    return false;
  }
  known->slot_time.OnEnded(at_target, how, now);
  return how == slot_time_share::ending::kRejected &&
         known->slot_time.IsFull() && now >= known->cold_until;
}

}  // namespace burdocklock::targets
