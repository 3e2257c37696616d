// Formats JSON values that may hold text from elsewhere.
#pragma once

#include <string>

namespace burdocklock {

/// Replaces bytes that are no text, for which nlohmann::json::dump throws.
template <typename Json>
std::string FormatText(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace burdocklock
