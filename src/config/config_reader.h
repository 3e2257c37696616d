// Reads and checks the TOML files of a daemon. A file is taken whole or not at
// all; the first problem is reported with file, line and key.
#pragma once

#include <string>
#include <string_view>

#include "config/types/settings.h"
#include "config/types/sheet.h"
#include "framework/types/error.h"

namespace burdocklock::config {

/// Parses settings. `file` is used in errors and as the base for a relative
/// sheet path.
result<settings> ParseSettings(std::string_view text, const std::string& file);
result<settings> ReadSettings(const std::string& file);

/// Parses a sheet. `file` is used in errors.
result<sheet> ParseSheet(std::string_view text, const std::string& file);
result<sheet> ReadSheet(const std::string& file);

/// The sheet as TOML that `ParseSheet` reads back to an equal value.
std::string FormatSheet(const sheet& sheet);

}  // namespace burdocklock::config
