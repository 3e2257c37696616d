// Parses announcements sent by targets.
#pragma once

#include <string_view>

#include "framework/types/error.h"
#include "targets/types/announcement.h"

namespace burdocklock::targets {

/// Parses and validates the JSON body of an announcement. Unknown members are
/// ignored, so that targets may run a newer version than the daemon.
result<announcement> ParseAnnouncement(std::string_view body);

}  // namespace burdocklock::targets
