// The prompt of a generation as far as the choice of a target depends on it.
#pragma once

#include <cstdint>
#include <vector>

namespace burdocklock::targets {

/// A part of a prompt that targets may keep, such as a session's history.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

struct prompt {
  std::uint32_t input_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// In the order in which they are read; the last one belongs to the request
  /// itself or to its session.
  std::vector<prompt_part> parts;
};

}  // namespace burdocklock::targets
