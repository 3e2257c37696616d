// The targets a daemon knows, what it has in flight at each, and the choice
// among them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "framework/i_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/admission_ramp.h"
#include "targets/types/announcement.h"

namespace burdocklock::targets {

struct directory_options {
  data_centre_id local_data_centre;
  /// A target silent for this time gets no new work.
  duration silence = std::chrono::seconds(6);
  /// A target silent for this time is forgotten.
  duration retention = std::chrono::minutes(10);
  ramp_options ramp;
};

enum class announce_result { kNew, kNewIncarnation, kUpdated, kStale };

constexpr const char* ToString(announce_result result) {
  switch (result) {
    case announce_result::kNew:
      return "new";
    case announce_result::kNewIncarnation:
      return "new_incarnation";
    case announce_result::kUpdated:
      return "updated";
    case announce_result::kStale:
      return "stale";
  }
  return "stale";
}

/// Permission to hold one request at a target; given back exactly once.
struct slot_grant {
  target_id target;
  incarnation life;
  endpoint address;
  ramp_epoch epoch;
};

struct choice {
  slot_grant grant;
  /// Targets compared, the chosen one first.
  std::vector<target_id> considered;
};

/// One target as operators see it.
struct target_view {
  announcement announced;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  ramp_phase phase = ramp_phase::kCold;
  bool silent = false;
  bool paused = false;
  duration since_heard{};
};

/// Invariants: in_flight of a target never exceeds its ramp limit at the time
/// of admission; a target that is not ready, silent, paused or in a data
/// centre that is out gets no grant.
class target_directory {
 public:
  target_directory(directory_options options, i_random& random);

  announce_result Announce(const announcement& announcement, time_point now);
  /// Takes a data centre out of service for new work, or back in. On return
  /// its targets count as cold.
  void SetDataCentreOut(const data_centre_id& data_centre, bool out);
  [[nodiscard]] bool IsDataCentreOut(const data_centre_id& data_centre) const;

  /// Targets that fell silent since the last call. Forgets those that have
  /// been silent for the retention period.
  std::vector<target_id> CollectSilent(time_point now);
  /// No target falls silent and no pause ends before this time.
  [[nodiscard]] time_point next_deadline() const { return next_deadline_; }

  /// Chooses a target of the pool that bears one more request: the better of
  /// two at random in the local data centre, else the same elsewhere. Targets
  /// in `excluded` are taken only if no other target of the pool is usable.
  std::optional<choice> Choose(const pool_id& pool,
                               const std::vector<target_id>& excluded,
                               time_point now);

  /// Evidence on a granted slot; `Release*` also gives it back.
  /// Returns true if the target was found to have turned cold.
  bool ReportFirstOutput(const slot_grant& grant, duration latency);
  /// Returns true if the target's limit rose.
  bool ReleaseGood(const slot_grant& grant);
  void ReleaseBad(const slot_grant& grant, time_point now);
  /// The request ended for reasons that say nothing about the target.
  void ReleaseNeutral(const slot_grant& grant);

  /// True if some target of the pool can take work, now or once a slot frees.
  [[nodiscard]] bool HasUsable(const pool_id& pool, time_point now) const;
  /// Slots that ramp limits allow over usable targets of the pool.
  [[nodiscard]] std::uint32_t UsableSlots(const pool_id& pool,
                                          time_point now) const;

  [[nodiscard]] std::vector<target_view> View(time_point now) const;
  [[nodiscard]] std::optional<std::uint32_t> RampLimit(
      const target_id& target) const;

 private:
  struct entry {
    announcement announced;
    admission_ramp ramp;
    std::uint32_t in_flight = 0;
    time_point last_heard;
    bool silence_reported = false;
  };

  [[nodiscard]] bool IsUsable(const entry& entry, time_point now) const;
  static bool HasRoom(const entry& entry);
  static bool IsBetter(const entry& a, const entry& b);
  entry* PickAmong(const std::vector<entry*>& candidates,
                   std::vector<target_id>& considered);
  entry* Find(const slot_grant& grant);
  void IndexPools(entry& entry);
  void UnindexPools(entry& entry);
  bool IsStale(const entry& known, const announcement& announcement) const;
  void Replace(entry& known, const announcement& announcement);
  void Refresh(entry& known, const announcement& announcement);
  [[nodiscard]] time_point NextDeadlineOf(const entry& entry,
                                          time_point now) const;

  directory_options options_;
  i_random& random_;
  // Node-based, so that the pointers in the index stay valid.
  std::unordered_map<target_id, entry> entries_;
  std::unordered_map<pool_id, std::vector<entry*>> by_pool_;
  std::unordered_map<data_centre_id, bool> out_;
  time_point next_deadline_ = kNever;
};

}  // namespace burdocklock::targets
