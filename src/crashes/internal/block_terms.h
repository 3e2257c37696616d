// Times that both the decisions on blocks and the weighing of evidence use.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "crashes/types/evidence.h"
#include "framework/types/time.h"

namespace burdocklock::crashes {

// Other routers' reports of an end, of ends at the same time and of what was
// served must have time to arrive.
inline constexpr std::chrono::milliseconds kMinEvidenceAge{300};
// What was served within this time is trusted.
inline constexpr std::chrono::seconds kTrustTime{60};
inline constexpr std::chrono::seconds kFirstBlock{60};
// Few ends suffice against a request, so it is tried soon.
inline constexpr std::chrono::seconds kFirstBlockOfRequest{5};
inline constexpr std::chrono::minutes kLongestBlock{60};

/// How long a suspect is blocked that was blocked `times_blocked` times in a
/// row.
inline duration BlockTime(suspect_kind kind, std::uint32_t times_blocked) {
  std::uint32_t doublings = std::max(times_blocked, 1U) - 1;
  if (kind == suspect_kind::kRequest) {
    if (times_blocked <= 1) {
      return kFirstBlockOfRequest;
    }
    --doublings;
  }
  duration time = kFirstBlock;
  for (std::uint32_t i = 0; i < doublings && time < kLongestBlock; ++i) {
    time *= 2;
  }
  return std::min<duration>(time, kLongestBlock);
}

}  // namespace burdocklock::crashes
