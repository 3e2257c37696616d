// Which part of a pool's targets a router may use beside the others. Answers
// the load pattern of many routers whose knowledge of each other is older than
// the time in which they fill a target. See target_directory.h.
#include <algorithm>

#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// Fraction of a target's slots that any router may use while requests wait at
// others.
constexpr double kUncontendedSlots = 0.8;

// Where all routers know the same old figures, comparing more would have them
// find the same target the best.
constexpr std::size_t kFewCompared = 2;

}  // namespace

const pool_competition& target_directory::CompetitionFor(
    const pool_id& pool) const {
  const auto found = competition_.find(pool);
  return found == competition_.end() ? default_competition_ : found->second;
}

double target_directory::ClaimedTokens(const pool_id& pool,
                                       const pool_competition& competition,
                                       time_point now) const {
  if (competition.waiting_elsewhere <= 0) {
    return 0;
  }
  return competition.waiting_elsewhere / std::max(1U, UsableTargets(pool, now));
}

bool target_directory::HasSlotPart(const entry& entry,
                                   const pool_competition& competition) const {
  const std::uint32_t slots = entry.announced.slots;
  if (competition.waiting_elsewhere <= 0 ||
      entry.in_flight + entry.remote_in_flight < slots * kUncontendedSlots) {
    return true;
  }
  return entry.in_flight + 1 <= slots * competition.own_fraction + entry.place;
}

bool target_directory::IsSharedOut(const entry& entry,
                                   const pool_competition& competition) const {
  return competition.load_known && routers_.size() > entry.announced.slots;
}

bool target_directory::HasFreePart(const entry& entry,
                                   const pool_competition& competition) const {
  // A router whose first requests have just come has no part of its own yet.
  const double fraction = competition.own_fraction > 0
                              ? competition.own_fraction
                              : 1 / static_cast<double>(routers_.size());
  const std::uint32_t slots = entry.announced.slots;
  const std::uint32_t taken = entry.in_flight_then + entry.remote_in_flight;
  const std::uint32_t free = slots > taken ? slots - taken : 0;
  const double part =
      std::max(slots * fraction, entry.in_flight_then + free * fraction);
  return entry.in_flight + 1 <= part + entry.place;
}

std::size_t target_directory::ComparedTargets(
    const pool_id& pool,
    const pool_competition& competition) const {
  const auto targets = by_pool_.find(pool);
  const bool is_shared_out =
      targets != by_pool_.end() && !targets->second.all().empty() &&
      IsSharedOut(*targets->second.all().front(), competition);
  return is_shared_out ? kFewCompared : kMaxCompared;
}

}  // namespace burdocklock::targets
