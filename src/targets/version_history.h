// Since when all targets of a pool have announced the same software version.
#pragma once

#include <optional>
#include <unordered_map>

#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::targets {

class version_history {
 public:
  /// A target of the pool was heard of at `heard`.
  void OnAnnouncement(const pool_id& pool,
                      const software_version& version,
                      time_point heard);
  /// The version that every announcement for at least `time` has named; nullopt
  /// if there were others, or if none was heard lately, so that others may have
  /// been missed.
  [[nodiscard]] std::optional<software_version>
  OnlyVersion(const pool_id& pool, duration time, time_point now) const;

 private:
  struct entry {
    software_version version;
    /// When it was first named after another one.
    time_point since;
    time_point last_heard;
  };
  std::unordered_map<pool_id, entry> pools_;
};

}  // namespace burdocklock::targets
