// Helpers for fuzz targets: input conversion and invariant checks.
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

/// Aborts if the invariant is violated, so that the fuzzer saves the input.
inline void Require(bool holds, const char* invariant) {
  if (!holds) {
    std::cerr << "invariant violated: " << invariant << '\n';
    std::abort();
  }
}

}  // namespace burdocklock::fuzz
