// See the header.
#include "gateway/prompt_fields.h"

#include <charconv>

namespace burdocklock::gateway {

namespace {

constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

// Removes and returns the first entry of a comma-separated list.
std::string_view PopListEntry(std::string_view& list) {
  const std::size_t comma = list.find(',');
  const std::string_view entry = list.substr(0, comma);
  list.remove_prefix(comma == std::string_view::npos ? list.size() : comma + 1);
  return entry;
}

template <typename T>
bool ParseNumber(std::string_view text, int base, T& value) {
  const auto [end, problem] =
      std::from_chars(text.data(), text.data() + text.size(), value, base);
  return problem == std::errc() && end == text.data() + text.size();
}

}  // namespace

std::optional<targets::prompt> ReadPromptFields(std::string_view tokens,
                                                std::string_view parts,
                                                std::string_view estimate) {
  targets::prompt prompt;
  if (!ParseNumber(PopListEntry(tokens), kDecimal, prompt.input_tokens) ||
      !ParseNumber(PopListEntry(tokens), kDecimal, prompt.max_output_tokens)) {
    return std::nullopt;
  }
  if (!ParseNumber(estimate, kDecimal, prompt.estimated_output_tokens)) {
    prompt.estimated_output_tokens = 0;
  }
  while (!parts.empty()) {
    const std::string_view entry = PopListEntry(parts);
    const std::size_t colon = entry.find(':');
    targets::prompt_part part;
    if (colon == std::string_view::npos ||
        !ParseNumber(entry.substr(0, colon), kHexadecimal, part.id) ||
        !ParseNumber(entry.substr(colon + 1), kDecimal, part.tokens)) {
      break;
    }
    prompt.parts.push_back(part);
  }
  return prompt;
}

}  // namespace burdocklock::gateway
