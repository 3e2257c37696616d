// Evidence of requests that end targets as control hosts keep it on disk, so
// that it outlasts the end of all daemons.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "control/types/clock_reading.h"
#include "crashes/types/evidence.h"
#include "framework/codec/entry_list.h"
#include "framework/types/error.h"

namespace burdocklock::control {

/// More than all evidence at its bounds takes.
inline constexpr std::size_t kMaxStoredEvidenceBytes = 8 * 1024 * 1024;

std::string EncodeStored(const crashes::evidence& known,
                         const clock_reading& written);

/// What was stored, older by the time since then. If the clocks do not tell
/// that time, it counts as a minute at most, so that blocks neither vanish nor
/// last for longer than they were made for, and what was served is left out: it
/// could seem to have been served after targets ended. Entries that cannot be
/// read are left out. Fails with kMalformed if this was not written by
/// `EncodeStored`.
result<crashes::evidence> DecodeStored(std::string_view bytes,
                                       const clock_reading& now,
                                       dropped_entries& dropped);

}  // namespace burdocklock::control
