// Elections of eight hosts whose disks or timers are slow, on virtual time.
#include <chrono>
#include <cstdint>
#include <optional>

#include <catch2/catch.hpp>

#include "quorum/tests/fake_cluster.h"

namespace burdocklock::quorum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The generator ignores the last bits of a seed.
constexpr std::uint32_t kSeedStep = 16;
constexpr std::uint32_t kSeeds = 20;
constexpr std::size_t kFirstVoters = 3;
constexpr std::size_t kHosts = 8;
// Bounds of the settings that name eight hosts: without a fault, and after one.
constexpr seconds kContact{4};
constexpr seconds kRecovery{15};
constexpr milliseconds kStep{50};

struct slow_hosts {
  fake_cluster cluster;
  /// Of the leader that was lost.
  term_number led_term;

  explicit slow_hosts(std::uint32_t seed)
      : cluster(kSeedStep * seed,
                kFirstVoters,
                kHosts,
                {.tolerated_losses = 2}) {
    cluster.UseLinks({0, 1, 2});
    cluster.RunFor(seconds(8));
    REQUIRE(cluster.Leader().has_value());
  }
  void SlowDisks(milliseconds least,
                 milliseconds most,
                 milliseconds late_timers = milliseconds(0)) {
    for (std::size_t i = 0; i < kHosts; ++i) {
      cluster.SetDiskDelay(i, least);
    }
    cluster.SetDelays(late_timers, most - least);
  }
  std::size_t LoseLeader() {
    const std::size_t leader = *cluster.Leader();
    led_term = cluster.Node(leader).term();
    cluster.Crash(leader);
    return leader;
  }
  /// Whether there is a leader again within the time.
  bool IsLedWithin(duration time) {
    for (duration waited{}; waited < time; waited += kStep) {
      cluster.RunFor(kStep);
      if (cluster.Leader()) {
        return true;
      }
    }
    return false;
  }
};

// All hosts answered for a minute that they do not lead: each stood while the
// votes of the others were still being written.
TEST_CASE(
    "slow disks: syncs of 0.6 to 1.8 s, the leader is lost: another one "
    "leads within the time for recovery") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    slow_hosts hosts(seed);
    hosts.SlowDisks(milliseconds(600), milliseconds(1800));
    hosts.LoseLeader();
    CHECK(hosts.IsLedWithin(kRecovery));
    CHECK_FALSE(hosts.cluster.diverged);
  }
}

TEST_CASE(
    "slow disks: fast again after many elections: a leader within the "
    "time of contact") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    slow_hosts hosts(seed);
    hosts.SlowDisks(seconds(10), seconds(20));
    hosts.LoseLeader();
    hosts.cluster.RunFor(seconds(20) + milliseconds(100) * seed);
    hosts.SlowDisks(milliseconds(5), milliseconds(5));
    CHECK(hosts.IsLedWithin(kContact));
  }
}

TEST_CASE(
    "slow disks: one stalls, the leader is lost: another one leads "
    "within the time of contact") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    for (std::size_t stalled = 1; stalled < kHosts; ++stalled) {
      CAPTURE(seed, stalled);
      slow_hosts hosts(seed);
      const std::size_t lost = hosts.LoseLeader();
      hosts.cluster.SetDiskDelay((lost + stalled) % kHosts, seconds(60));
      CHECK(hosts.IsLedWithin(kContact));
    }
  }
}

TEST_CASE(
    "slow disks: the candidate ends while its votes are written: "
    "another one leads within the time for recovery") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    slow_hosts hosts(seed);
    hosts.SlowDisks(milliseconds(600), milliseconds(1800));
    hosts.LoseLeader();
    // One that stands, as a pre-vote leaves the term as it is.
    std::optional<std::size_t> candidate;
    const time_point end = hosts.cluster.now + kRecovery;
    while (!candidate && hosts.cluster.now < end) {
      hosts.cluster.RunFor(milliseconds(10));
      for (std::size_t i = 0; i < kHosts; ++i) {
        if (hosts.cluster.IsUp(i) &&
            hosts.cluster.Node(i).role() == raft_role::kCandidate &&
            hosts.cluster.Node(i).term() > hosts.led_term) {
          candidate = i;
        }
      }
    }
    REQUIRE(candidate.has_value());
    hosts.cluster.RunFor(milliseconds(300));
    hosts.cluster.Crash(*candidate);
    CHECK(hosts.IsLedWithin(kRecovery));
  }
}

// What candidates tell is as late as their timers, and voters stop waiting.
TEST_CASE(
    "slow disks: syncs of 1 to 3 s, timers up to a second late, the leader "
    "is lost: another one leads within the time for recovery",
    "[.known-red]") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    slow_hosts hosts(seed);
    hosts.SlowDisks(seconds(1), seconds(3), seconds(1));
    hosts.LoseLeader();
    CHECK(hosts.IsLedWithin(kRecovery));
  }
}

}  // namespace
}  // namespace burdocklock::quorum
