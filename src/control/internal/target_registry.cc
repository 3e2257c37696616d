// Merges target announcements, handles withdrawals and expires old entries.
// Reports which changes routers must learn at once.
#include "control/target_registry.h"

#include <algorithm>
#include <chrono>

namespace burdocklock::control {

using targets::announcement;

namespace {

// Longer than any announcement can be delayed, so that a late one can't bring a
// removed target back.
constexpr std::chrono::minutes kRetention{2};

bool IsStale(const announcement& known, const announcement& update) {
  if (update.life != known.life) {
    return update.life < known.life;
  }
  return update.sequence <= known.sequence;
}

// These fields affect routing decisions; other changes wait for the next batch.
bool NeedsImmediateUpdate(const announcement& known,
                          const announcement& update) {
  const bool turned_cold =
      update.cold_for.value_or(std::chrono::milliseconds(0)) >
      known.cold_for.value_or(std::chrono::milliseconds(0));
  return update.life != known.life || update.version != known.version ||
         update.state != known.state || update.address != known.address ||
         update.pools != known.pools || update.slots != known.slots ||
         turned_cold;
}

}  // namespace

registry_result target_registry::Update(const announcement& announcement,
                                        time_point last_seen) {
  const auto [found, added] = entries_.try_emplace(
      announcement.target,
      registry_entry{.announced = announcement, .last_seen = last_seen});
  if (added) {
    return registry_result::kChanged;
  }
  registry_entry& known = found->second;
  if (IsStale(known.announced, announcement)) {
    return registry_result::kStale;
  }
  const bool changed = NeedsImmediateUpdate(known.announced, announcement);
  known.announced = announcement;
  known.last_seen = std::max(known.last_seen, last_seen);
  return changed ? registry_result::kChanged : registry_result::kRenewed;
}

std::optional<announcement> target_registry::Withdraw(
    const target_id& target,
    std::optional<incarnation> life,
    time_point now) {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  registry_entry& known = found->second;
  const bool other_incarnation = life && *life != known.announced.life;
  if (other_incarnation || known.announced.sequence == targets::kLastSequence) {
    return std::nullopt;
  }
  known.announced.state = targets::target_state::kLeaving;
  known.announced.sequence = targets::kLastSequence;
  known.last_seen = now;
  return known.announced;
}

void target_registry::Expire(time_point now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return now - entry.second.last_seen >= kRetention;
  });
}

std::vector<registry_entry> target_registry::All() const {
  std::vector<registry_entry> all;
  all.reserve(entries_.size());
  for (const auto& [target, entry] : entries_) {
    all.push_back(entry);
  }
  return all;
}

}  // namespace burdocklock::control
