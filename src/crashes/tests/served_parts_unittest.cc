// Bounds of what a router remembers of parts that were served.
#include "crashes/served_parts.h"

#include <chrono>

#include <catch2/catch.hpp>

namespace burdocklock::crashes {
namespace {

TEST_CASE("parts served without end: the last ones are remembered, in bounds") {
  served_parts parts;
  const time_point start{std::chrono::seconds(1000)};
  const std::uint64_t count = 5 * served_parts::kGenerationSize;
  for (std::uint64_t part = 0; part < count; ++part) {
    parts.Remember({.pool = pool_id("llm"), .part = part},
                   start + std::chrono::milliseconds(part));
    REQUIRE(parts.size() <= 2 * served_parts::kGenerationSize);
  }
  for (std::uint64_t part = count - served_parts::kGenerationSize; part < count;
       ++part) {
    REQUIRE(parts.Find({.pool = pool_id("llm"), .part = part}) ==
            start + std::chrono::milliseconds(part));
  }
  CHECK_FALSE(parts.Find({.pool = pool_id("llm"), .part = 0}));
  CHECK_FALSE(parts.Find({.pool = pool_id("other"), .part = count - 1}));
}

}  // namespace
}  // namespace burdocklock::crashes
