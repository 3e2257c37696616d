// See the header.
#include "targets/version_history.h"

#include <algorithm>
#include <chrono>

namespace burdocklock::targets {

namespace {

// Two announcements of a target that is there, and a margin.
constexpr std::chrono::milliseconds kLately{2500};

}  // namespace

void version_history::OnAnnouncement(const pool_id& pool,
                                     const software_version& version,
                                     time_point heard) {
  const auto [found, is_first] =
      pools_.try_emplace(pool, entry{version, heard, heard});
  entry& known = found->second;
  if (known.version != version) {
    known.version = version;
    // One that is passed on late may name a version that has gone.
    known.since = std::max(known.last_heard, heard);
  }
  known.last_heard = std::max(known.last_heard, heard);
}

std::optional<software_version> version_history::OnlyVersion(
    const pool_id& pool,
    duration time,
    time_point now) const {
  const auto found = pools_.find(pool);
  if (found == pools_.end() || now - found->second.last_heard > kLately ||
      now - found->second.since < time) {
    return std::nullopt;
  }
  return found->second.version;
}

}  // namespace burdocklock::targets
