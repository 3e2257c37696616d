// A target as operators see it.
#pragma once

#include <cstdint>
#include <optional>

#include "framework/types/time.h"
#include "targets/admission_ramp.h"
#include "targets/types/announcement.h"

namespace burdocklock::targets {

/// State of one target as shown to operators.
struct target_view {
  announcement announced;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// The lessor's ramp limit; equal to `limit` without leases.
  std::uint32_t ramp_limit = 0;
  /// The most requests of all routers that the target takes well, as learned;
  /// its slots if nothing else is known.
  std::uint32_t learned_limit = 0;
  /// Expected time of a plain call sent now, in milliseconds.
  std::optional<double> expected_ms;
  ramp_phase phase = ramp_phase::kCold;
  bool silent = false;
  bool paused = false;
  /// An answer of this incarnation said that it leaves.
  bool said_leaving = false;
  /// How much longer it wants no requests from this router.
  duration asked_pause{};
  duration since_heard{};
  /// This router's part of it, in requests there; absent unless routers share
  /// the time of its slots.
  std::optional<double> slot_part = std::nullopt;
};

}  // namespace burdocklock::targets
