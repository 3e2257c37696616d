// The properties of a prompt that target selection depends on.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace burdocklock::targets {

/// A part of a prompt that targets may cache, such as a session's history.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

struct prompt {
  std::uint32_t input_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// The caller's estimate, often far off; 0 if it gave none.
  std::uint32_t estimated_output_tokens = 0;
  /// In prompt order; the last part belongs to the request itself or to its
  /// session.
  std::vector<prompt_part> parts;

  [[nodiscard]] std::uint32_t ExpectedOutputTokens() const {
    return estimated_output_tokens > 0
               ? std::min(estimated_output_tokens, max_output_tokens)
               : max_output_tokens;
  }
};

/// Returns the ids of the parts that other prompts may share.
inline std::vector<std::uint64_t> SharedParts(const prompt& prompt) {
  std::vector<std::uint64_t> shared;
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    shared.push_back(prompt.parts[i].id);
  }
  return shared;
}

}  // namespace burdocklock::targets
