// Rate limits that targets name in their answers, also to other routers.
#include "targets/named_rate_limit.h"

#include <chrono>
#include <cstdint>
#include <optional>

#include <catch2/catch.hpp>

#include "framework/seeded_random.h"
#include "targets/target_directory.h"

namespace burdocklock::targets {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(1000)};

admission::named_rate Report(std::optional<double> per_second,
                             std::uint64_t age_ms) {
  return {.per_second = per_second, .age_ms = age_ms};
}

TEST_CASE("named rate: another router's answer names one: it holds here") {
  named_rate_limit limit;
  limit.OnReport(Report(6.0, 40), kNow);
  CHECK(limit.PerSecond(kNow) == 6.0);
  limit.OnSent(0.25, kNow);
  CHECK_FALSE(limit.HasRoom(0.25, kNow));
  CHECK(limit.HasRoom(0.25, kNow + seconds(1)));
}

TEST_CASE("named rate: another router's answer names none any more: no limit") {
  named_rate_limit limit;
  limit.OnAnswer(6.0, kNow);
  limit.OnReport(Report(std::nullopt, 100), kNow + seconds(1));
  CHECK_FALSE(limit.PerSecond(kNow + seconds(1)).has_value());
}

TEST_CASE(
    "named rate: another router's answer is older than the own one: it "
    "changes nothing") {
  named_rate_limit limit;
  limit.OnAnswer(6.0, kNow);
  limit.OnReport(Report(3.0, 2000), kNow + seconds(1));
  CHECK(limit.PerSecond(kNow + seconds(1)) == 6.0);
  limit.OnReport(Report(3.0, 500), kNow + seconds(1));
  CHECK(limit.PerSecond(kNow + seconds(1)) == 3.0);
}

TEST_CASE("named rate: heard of from another router alone: not told on") {
  named_rate_limit limit;
  limit.OnReport(Report(6.0, 0), kNow);
  CHECK_FALSE(limit.ToReport(kNow).has_value());
  limit.OnAnswer(6.0, kNow + milliseconds(10));
  CHECK(limit.ToReport(kNow + milliseconds(10)).has_value());
}

TEST_CASE("named rate: nobody has heard of it for half a minute: no limit") {
  named_rate_limit limit;
  limit.OnReport(Report(6.0, 0), kNow);
  CHECK(limit.PerSecond(kNow + seconds(29)).has_value());
  CHECK_FALSE(limit.PerSecond(kNow + seconds(31)).has_value());
}

// A router that had no answer of the target sent it requests beyond its limit.
TEST_CASE(
    "target's limit is known from other routers alone: this router keeps "
    "to its part") {
  seeded_random random{5};
  directory_options options;
  options.self = daemon_id("r0");
  target_directory directory(options, random);
  directory.SetRouters({daemon_id("r0")});
  directory.Announce({.target = target_id("a"),
                      .life = incarnation(1),
                      .pools = {pool_id("llm")},
                      .state = target_state::kReady,
                      .slots = 64,
                      .cold_slots = 64,
                      .sequence = 1,
                      .cold_for = milliseconds(0)},
                     kNow);
  directory.SetRemoteLoad(
      {{.target = target_id("a"), .rate_limit = Report(2.0, 100)}}, kNow);
  const auto count = [&](time_point at) {
    int sent = 0;
    while (directory.Choose(pool_id("llm"), {}, at).has_value()) {
      ++sent;
    }
    return sent;
  };
  CHECK(count(kNow) == 1);
  CHECK(count(kNow + milliseconds(200)) == 0);
  CHECK(count(kNow + milliseconds(500)) == 1);
  directory.SetRemoteLoad(
      {{.target = target_id("a"), .rate_limit = Report(std::nullopt, 0)}},
      kNow + seconds(1));
  CHECK(count(kNow + seconds(1)) == 62);
}

}  // namespace
}  // namespace burdocklock::targets
