// Bounds of what targets may announce, whatever format it arrives in.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "targets/types/announcement.h"

namespace burdocklock::targets {

/// More are a fault of the sender. The sum over all targets fits 32 bits.
inline constexpr std::uint32_t kMaxSlots = 100'000;
inline constexpr std::chrono::hours kMaxColdFor{24};
/// Ids of targets, data centres and pools.
inline constexpr std::size_t kMaxNameBytes = 1024;

/// Throws std::out_of_range if the announcement breaks an invariant or a bound.
void Check(const announcement& announcement);

}  // namespace burdocklock::targets
