// The bytes of one fuzzing run, and how a run reports what must not be.
#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

namespace burdocklock::fuzz {

inline std::string ToText(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

/// Ends the process, so that the fuzzer keeps the input.
inline void Require(bool holds, const char* what) {
  if (!holds) {
    std::cerr << "does not hold: " << what << '\n';
    std::abort();
  }
}

}  // namespace burdocklock::fuzz
