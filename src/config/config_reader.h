// Reads and validates the TOML files of a daemon. A file with any error is
// rejected entirely; the first error is reported with file, line and key.
#pragma once

#include <string>
#include <string_view>

#include "config/types/settings.h"
#include "config/types/sheet.h"
#include "framework/types/error.h"

namespace burdocklock::config {

/// Parses settings. `file` appears in errors, and a relative sheet path is
/// resolved against its directory.
result<settings> ParseSettings(std::string_view text, const std::string& file);
result<settings> ReadSettings(const std::string& file);

/// Parses a sheet. `file` appears in errors.
result<sheet> ParseSheet(std::string_view text, const std::string& file);
result<sheet> ReadSheet(const std::string& file);

/// Formats the sheet as TOML; `ParseSheet` of the result yields an equal sheet.
std::string FormatSheet(const sheet& sheet);

}  // namespace burdocklock::config
