// Reads and parses TOML files.
#pragma once

#include <string>
#include <string_view>

#include <toml++/toml.h>

#include "framework/types/error.h"

namespace burdocklock::config {

/// Returns the contents of `file`; `step` names the operation in errors.
result<std::string> ReadFile(const std::string& file, const std::string& step);

/// Parses TOML; syntax errors are reported with the line.
result<toml::table> ParseToml(std::string_view text,
                              const std::string& file,
                              const std::string& step);

}  // namespace burdocklock::config
