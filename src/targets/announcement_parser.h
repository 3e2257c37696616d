// Reads announcement bodies.
#pragma once

#include <string_view>

#include "framework/types/error.h"
#include "targets/types/announcement.h"

namespace burdocklock::targets {

/// Parses and checks the JSON body of an announcement. Unknown members are
/// ignored, so that targets can be newer than the daemon.
result<announcement> ParseAnnouncement(std::string_view body);

}  // namespace burdocklock::targets
