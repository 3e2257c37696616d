// Which part of a pool's targets a router may use while requests wait at
// others. See target_directory.h.
#include <algorithm>

#include "targets/rendezvous.h"
#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// Fraction of a target's slots that any router may use while requests wait at
// others.
constexpr double kUncontendedSlots = 0.8;

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
  // Rounded up at some targets and down at others, so that small parts of many
  // routers add up to the whole.
  const double rounding =
      RendezvousPlace(entry.announced.target.value(), options_.self.value());
  return entry.in_flight + 1 <= slots * competition.own_fraction + rounding;
}

}  // namespace burdocklock::targets
