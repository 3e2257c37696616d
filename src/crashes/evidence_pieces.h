// Evidence in messages of bounded size.
#pragma once

#include <cstddef>
#include <vector>

#include "crashes/types/evidence.h"

namespace burdocklock::crashes {

/// Targets, parts, requests and suspects in one piece at most. Who receives it
/// keeps a part of a message for each link at a time.
inline constexpr std::size_t kMaxPieceEntries = 4096;

/// Returns the same entries in the same order, in pieces of at most
/// `max_entries`; an end of a target with more is a piece by itself.
[[nodiscard]] std::vector<evidence> InPieces(
    evidence whole,
    std::size_t max_entries = kMaxPieceEntries);

}  // namespace burdocklock::crashes
