// Times that both the decisions on blocks and the weighing of evidence use.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "framework/types/time.h"

namespace burdocklock::crashes {

// Other routers' reports of an end, of ends at the same time and of parts that
// were served must have time to arrive.
inline constexpr std::chrono::milliseconds kMinEvidenceAge{300};
// A part that was served within this time is trusted.
inline constexpr std::chrono::seconds kTrustTime{60};
inline constexpr std::chrono::seconds kFirstBlock{60};
inline constexpr std::chrono::minutes kLongestBlock{60};

/// How long a part is blocked that was blocked `times_blocked` times in a row.
inline duration BlockTime(std::uint32_t times_blocked) {
  duration time = kFirstBlock;
  for (std::uint32_t i = 1; i < times_blocked && time < kLongestBlock; ++i) {
    time *= 2;
  }
  return std::min<duration>(time, kLongestBlock);
}

}  // namespace burdocklock::crashes
