// Part of target_directory: software versions of targets, and what may run what
// is restricted to one.
#include <algorithm>
#include <chrono>
#include <utility>

#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// Two announcements of a target that is there, and a margin.
constexpr std::chrono::milliseconds kAnnouncementsHeard{2500};

}  // namespace

bool target_directory::HasVersion(const pool_id& pool,
                                  const software_version& version,
                                  time_point now) const {
  if (IsNew(now) && !early_versions_.contains({pool, version})) {
    return true;
  }
  const auto found = by_pool_.find(pool);
  return found != by_pool_.end() &&
         std::any_of(found->second.all().begin(), found->second.all().end(),
                     [&](const entry* entry) {
                       return entry->announced.version == version &&
                              MayServe(*entry, now);
                     });
}

std::optional<software_version> target_directory::VersionOf(
    const target_id& target) const {
  const auto found = entries_.find(target);
  return found == entries_.end()
             ? std::nullopt
             : std::optional(found->second.announced.version);
}

bool target_directory::IsNew(time_point now) const {
  return !first_heard_ || now - *first_heard_ < kAnnouncementsHeard;
}

void target_directory::NoteVersion(const announcement& announcement,
                                   time_point heard,
                                   time_point now) {
  if (!IsNew(now)) {
    early_versions_.clear();
    return;
  }
  first_heard_ = first_heard_.value_or(now);
  // Another control host may have heard of the target since.
  if (now - heard >= options_.silence) {
    return;
  }
  for (const pool_id& pool : announcement.pools) {
    early_versions_.emplace(pool, announcement.version);
  }
}

bool target_directory::NamesNoVersions(const pool_id& pool) const {
  const auto found = by_pool_.find(pool);
  return found != by_pool_.end() && !found->second.all().empty() &&
         std::all_of(found->second.all().begin(), found->second.all().end(),
                     [](const entry* entry) {
                       return entry->announced.version.value().empty();
                     });
}

bool target_directory::MayServe(const entry& entry, time_point now) const {
  // A refused connection may concern this router's path only; a target that is
  // there announces itself again.
  const duration silence =
      entry.unreachable_at
          ? std::min<duration>(kAnnouncementsHeard, options_.silence)
          : options_.silence;
  const bool is_heard = options_.leased ? now < entry.lease_until
                                        : now - entry.last_heard < silence;
  return is_heard && !entry.replaced && !entry.said_leaving &&
         entry.announced.state != target_state::kLeaving &&
         !entry.data_centre_out;
}

bool target_directory::IsOtherRun(const announcement& known,
                                  const announcement& update) {
  // Older peers leave the version out of the announcements that they pass on.
  const bool other_version = !known.version.value().empty() &&
                             !update.version.value().empty() &&
                             known.version != update.version;
  return update.life != known.life || other_version;
}

void target_directory::Adopt(entry& known, const announcement& announcement) {
  software_version version = known.announced.version;
  known.announced = announcement;
  if (announcement.version.value().empty()) {
    known.announced.version = std::move(version);
  }
}

bool target_directory::Fits(const entry& entry,
                            const std::optional<software_version>& version) {
  if (!version) {
    return true;
  }
  const bool is_doubtful =
      entry.broken_at.has_value() && !version->value().empty();
  return entry.announced.version == *version && !is_doubtful;
}

bool target_directory::Fits(const entry& entry,
                            const std::optional<software_version>& version,
                            const std::vector<software_version>& avoided) {
  return Fits(entry, version) &&
         (version || std::find(avoided.begin(), avoided.end(),
                               entry.announced.version) == avoided.end());
}

void target_directory::SetSpareVersions(
    const pool_id& pool,
    std::vector<software_version> versions) {
  if (versions.empty()) {
    spare_versions_.erase(pool);
  } else {
    spare_versions_[pool] = std::move(versions);
  }
}

bool target_directory::IsCounted(const pool_id& pool,
                                 const entry& entry,
                                 time_point now) const {
  if (!IsInService(entry, now)) {
    return false;
  }
  const auto spare = spare_versions_.find(pool);
  return spare == spare_versions_.end() ||
         std::find(spare->second.begin(), spare->second.end(),
                   entry.announced.version) == spare->second.end();
}

bool target_directory::WasCold(const slot_grant& grant, time_point at) const {
  const auto found = entries_.find(grant.target);
  return found != entries_.end() && at < found->second.cold_until;
}

void target_directory::MarkBroken(const slot_grant& grant, time_point now) {
  if (entry* known = Find(grant)) {
    known->broken_at = now;
  }
}

}  // namespace burdocklock::targets
