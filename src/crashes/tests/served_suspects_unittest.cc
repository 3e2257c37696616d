// Bounds of what a router remembers of suspects that were served.
#include "crashes/served_suspects.h"

#include <chrono>

#include <catch2/catch.hpp>

namespace burdocklock::crashes {
namespace {

TEST_CASE(
    "suspects served without end: the last ones are remembered, in bounds") {
  served_suspects served;
  const time_point start{std::chrono::seconds(1000)};
  const std::uint64_t count = 5 * served_suspects::kGenerationSize;
  for (std::uint64_t id = 0; id < count; ++id) {
    served.Remember({.pool = pool_id("llm"), .id = id},
                    start + std::chrono::milliseconds(id));
    REQUIRE(served.size() <= 2 * served_suspects::kGenerationSize);
  }
  for (std::uint64_t id = count - served_suspects::kGenerationSize; id < count;
       ++id) {
    REQUIRE(served.Find({.pool = pool_id("llm"), .id = id}) ==
            start + std::chrono::milliseconds(id));
  }
  CHECK_FALSE(served.Find({.pool = pool_id("llm"), .id = 0}));
  CHECK_FALSE(served.Find({.pool = pool_id("other"), .id = count - 1}));
}

}  // namespace
}  // namespace burdocklock::crashes
