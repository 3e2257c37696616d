// Reading and parsing of whole TOML files.
#pragma once

#include <string>
#include <string_view>

#include <toml++/toml.h>

#include "framework/types/error.h"

namespace burdocklock::config {

/// Contents of `file`; `step` names what it is read for.
result<std::string> ReadFile(const std::string& file, const std::string& step);

/// Parses TOML; syntax errors carry the line.
result<toml::table> ParseToml(std::string_view text,
                              const std::string& file,
                              const std::string& step);

}  // namespace burdocklock::config
