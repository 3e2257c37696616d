// A router whose callers flood it, in virtual time.
#include <chrono>
#include <cstddef>
#include <cstdint>

#include <catch2/catch.hpp>

#include "admission/tests/relaying_router.h"

namespace burdocklock::admission {
namespace {

using std::chrono::seconds;

struct flooded_router_fixture {
  static constexpr std::size_t kFloodBegins = 5;
  static constexpr std::size_t kFloodEnds = 17;
  static constexpr double kUsual = 80;

  // Calls a second that the processor can serve if it refuses all others.
  static double Served(double calls_per_second) {
    using router = relaying_router;
    const double refused = ToSeconds(router::kRead + router::kRefuse);
    return (1 - refused * calls_per_second) /
           (ToSeconds(router::kServed) - refused);
  }
  static relaying_router Play(double flood, std::uint32_t seed) {
    relaying_router router(seed);
    router.Run(kUsual, seconds(kFloodBegins));
    router.Run(flood, seconds(kFloodEnds - kFloodBegins));
    return router;
  }
};

// More was admitted than could be served, and turns grew until callers left.
TEST_CASE_METHOD(flooded_router_fixture,
                 "processor guard: streams flood the router: from two seconds "
                 "on callers do not leave unserved",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    for (const double flood : {600.0, 800.0, 1000.0, 1200.0}) {
      const auto sum = Play(flood, seed).Sum(kFloodBegins + 2, kFloodEnds);
      INFO("seed " << seed << ", " << flood << " calls a second: " << sum.served
                   << " served, " << sum.refused << " refused");
      CHECK(sum.left * 100 <= sum.arrived);
    }
  }
}

TEST_CASE_METHOD(flooded_router_fixture,
                 "processor guard: streams flood the router: three quarters of "
                 "what its processor allows are served",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    for (const double flood : {600.0, 800.0, 1000.0, 1200.0}) {
      const auto sum = Play(flood, seed).Sum(kFloodBegins + 2, kFloodEnds);
      INFO("seed " << seed << ", " << flood << " calls a second: " << sum.left
                   << " callers left, " << sum.refused << " refused");
      CHECK(sum.served >=
            0.75 * Served(flood) *
                static_cast<double>(kFloodEnds - kFloodBegins - 2));
    }
  }
}

// They came back to the router that had refused them.
TEST_CASE_METHOD(flooded_router_fixture,
                 "processor guard: refused callers come back once: three "
                 "quarters of what the processor allows are served until the "
                 "router has left the rotation",
                 "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    for (const double flood : {600.0, 800.0, 1000.0}) {
      relaying_router router(seed, relaying_router::refused_callers::kComeBack);
      router.Run(kUsual, seconds(kFloodBegins));
      router.Run(flood, seconds(3));
      const auto sum = router.Sum(kFloodBegins, kFloodBegins + 3);
      INFO("seed " << seed << ", " << flood << " calls a second: "
                   << sum.refused << " refused, " << sum.left << " left");
      CHECK(sum.served >= 0.75 * Served(flood) * 2);
    }
  }
}

}  // namespace
}  // namespace burdocklock::admission
