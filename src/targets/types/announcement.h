// Self-description that a target sends to the daemon.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"

namespace burdocklock::targets {

enum class target_kind { kEngine, kService };
enum class target_state { kStarting, kReady, kLeaving };
/// Whether a target rejects orders that carry an outdated fencing number.
enum class fencing_support { kChecks, kIgnores };

constexpr const char* ToString(target_state state) {
  switch (state) {
    case target_state::kStarting:
      return "starting";
    case target_state::kReady:
      return "ready";
    case target_state::kLeaving:
      return "leaving";
  }
  return "leaving";
}

/// Load measured by the target at `at_ms`; may arrive late or more than once.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Fraction of the KV cache in use, 0 to 1.
  double kv_used = 0;
  /// Milliseconds on the target's own clock; orders the reports of one
  /// incarnation.
  std::uint64_t at_ms = 0;
};

/// Invariants, checked on parsing: `slots` and `cold_slots` are positive,
/// `cold_slots` is at most `slots`, `pools` is not empty.
struct announcement {
  target_id target;
  incarnation life;
  data_centre_id data_centre;
  target_kind kind = target_kind::kEngine;
  endpoint address;
  /// Models that an engine serves, or the name of a service.
  std::vector<pool_id> pools;
  target_state state = target_state::kStarting;
  software_version version = {};
  /// Maximum number of concurrent requests when warm.
  std::uint32_t slots = 1;
  /// Maximum number of concurrent requests right after start.
  std::uint32_t cold_slots = 1;
  fencing_support fencing = fencing_support::kIgnores;
  std::optional<load_report> load;
  /// Orders the announcements of one incarnation; 0 if they are unnumbered.
  std::uint64_t sequence = 0;
  /// How long the target will remain cold, as announced by the target.
  std::optional<std::chrono::milliseconds> cold_for;
};

/// Sequence number that marks the end of an incarnation: no later announcement
/// of it is accepted.
inline constexpr std::uint64_t kLastSequence =
    std::numeric_limits<std::uint64_t>::max();

}  // namespace burdocklock::targets
