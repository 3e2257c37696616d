// Ages in control messages.
#pragma once

#include <algorithm>
#include <cstdint>

#include <nlohmann/json.hpp>

#include "framework/codec/whole_number.h"

namespace burdocklock::control {

/// Milliseconds: one day; nothing that is exchanged is as old.
inline constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;

/// In milliseconds; older than `kMaxAgeMs` makes no difference. Throws what
/// nlohmann::json throws if this is not a whole number.
inline std::uint64_t ReadAge(const nlohmann::json& j) {
  return std::min(ReadWhole<std::uint64_t>(j), kMaxAgeMs);
}

}  // namespace burdocklock::control
