// Tests of the replicated log under faults, on virtual time.
#include <algorithm>
#include <cstdlib>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "quorum/tests/fake_cluster.h"

namespace burdocklock::quorum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool Contains(const std::vector<std::string>& state,
              const std::string& command) {
  return std::find(state.begin(), state.end(), command) != state.end();
}

// Checks the safety invariants, which hold under any faults.
void CheckInvariants(const fake_cluster& cluster) {
  REQUIRE_FALSE(cluster.diverged);
  for (const auto& [term, leaders] : cluster.leaders) {
    REQUIRE(leaders.size() <= 1);
  }
}

// Ends all faults and checks that a leader emerges that holds every
// acknowledged command.
void CheckRecovered(fake_cluster& cluster) {
  cluster.UnblockLinks();
  cluster.SetLoss(0);
  for (std::size_t i = 0; i < cluster.size(); ++i) {
    cluster.SetDiskDelay(i, milliseconds(5));
    if (!cluster.IsUp(i)) {
      cluster.Start(i);
    }
  }
  cluster.RunFor(seconds(12));
  CheckInvariants(cluster);
  REQUIRE(cluster.Leader().has_value());
  const auto& state = cluster.State(*cluster.Leader());
  for (const auto& ack : cluster.acks) {
    REQUIRE(Contains(state, ack.command));
  }
}

struct three_host_fixture {
  fake_cluster cluster{11, 3, 3};

  three_host_fixture() { cluster.RunFor(seconds(4)); }
  std::size_t Leader() {
    REQUIRE(cluster.Leader().has_value());
    return *cluster.Leader();
  }
};

// Guards against docs/incidents/026: reads put off the check of the majority.
TEST_CASE_METHOD(three_host_fixture,
                 "log: leader cut off while reads come: steps down") {
  const std::size_t leader = Leader();
  cluster.Isolate(leader);
  for (std::uint64_t id = 1; id <= 200; ++id) {
    cluster.RequestRead(leader, id);
    cluster.RunFor(milliseconds(10));
  }
  CHECK(cluster.Node(leader).role() != raft_role::kLeader);
  REQUIRE(cluster.read_results.contains(1));
  CHECK_FALSE(cluster.read_results.at(1));
}

TEST_CASE_METHOD(three_host_fixture,
                 "log: first start: one leader acknowledges") {
  Leader();
  REQUIRE(cluster.Propose("a"));
  cluster.RunFor(milliseconds(200));
  CHECK(cluster.acks.size() == 1);
  cluster.RunFor(milliseconds(500));
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(Contains(cluster.State(i), "a"));
  }
}

TEST_CASE_METHOD(three_host_fixture,
                 "log: isolated leader: another is elected within 3 s") {
  const std::size_t old = Leader();
  cluster.Isolate(old);
  cluster.RunFor(seconds(3));
  REQUIRE(cluster.Leader().has_value());
  CHECK(*cluster.Leader() != old);
  CHECK_FALSE(cluster.Node(old).role() == raft_role::kLeader);
  CheckInvariants(cluster);
}

TEST_CASE_METHOD(three_host_fixture,
                 "log: leader that receives no messages: steps down") {
  const std::size_t old = Leader();
  for (std::size_t other = 0; other < 3; ++other) {
    cluster.BlockLink(other, old);
  }
  cluster.RunFor(seconds(4));
  REQUIRE(cluster.Leader().has_value());
  CHECK(*cluster.Leader() != old);
}

TEST_CASE_METHOD(three_host_fixture,
                 "read: at an isolated leader: never confirmed") {
  const std::size_t old = Leader();
  cluster.Isolate(old);
  cluster.RequestRead(old, 1);
  cluster.RunFor(seconds(3));
  CHECK_FALSE(cluster.read_results.at(1));
}

TEST_CASE_METHOD(three_host_fixture, "read: at a connected leader: confirmed") {
  cluster.RequestRead(Leader(), 1);
  cluster.RunFor(milliseconds(100));
  CHECK(cluster.read_results.at(1));
}

TEST_CASE_METHOD(
    three_host_fixture,
    "disk: stall at the leader: followers acknowledge, leader stays") {
  const std::size_t leader = Leader();
  cluster.SetDiskDelay(leader, seconds(30));
  REQUIRE(cluster.Propose("a"));
  cluster.RunFor(seconds(2));
  CHECK(cluster.acks.size() == 1);
  CHECK(cluster.Leader() == leader);
}

TEST_CASE_METHOD(three_host_fixture,
                 "disk: lost after an acknowledgement while the others lose "
                 "power: command kept") {
  const std::size_t leader = Leader();
  // This follower does not receive the entry.
  const std::size_t behind = (leader + 1) % 3;
  cluster.Isolate(behind);
  REQUIRE(cluster.Propose("a"));
  cluster.RunFor(milliseconds(100));
  REQUIRE(cluster.acks.size() == 1);
  cluster.WipeDisk(leader);
  cluster.Crash(behind);
  cluster.Crash((leader + 2) % 3);
  CheckRecovered(cluster);
}

TEST_CASE_METHOD(
    three_host_fixture,
    "membership: host with an empty disk: replaces its old member") {
  const std::size_t lost = (Leader() + 1) % 3;
  const member_id before = cluster.Node(lost).self();
  cluster.WipeDisk(lost);
  cluster.RunFor(seconds(2));
  cluster.Start(lost);
  cluster.RunFor(seconds(4));
  const raft_node& leader = cluster.Node(Leader());
  CHECK(leader.FindMember(before) == nullptr);
  REQUIRE(leader.FindMember(cluster.Node(lost).self()) != nullptr);
  CHECK(leader.FindMember(cluster.Node(lost).self())->voter);
  CHECK(leader.members().size() == 3);
}

TEST_CASE_METHOD(three_host_fixture,
                 "membership: two disks lost in succession: command kept") {
  REQUIRE(cluster.Propose("a"));
  cluster.RunFor(milliseconds(200));
  cluster.WipeDisk((Leader() + 1) % 3);
  cluster.RunFor(seconds(1));
  for (std::size_t i = 0; i < 3; ++i) {
    if (!cluster.IsUp(i)) {
      cluster.Start(i);
    }
  }
  cluster.RunFor(seconds(4));
  cluster.WipeDisk(Leader());
  CheckRecovered(cluster);
}

TEST_CASE("membership: fourth host: becomes a voter once it has caught up") {
  fake_cluster cluster(5, 3, 4);
  cluster.RunFor(seconds(6));
  REQUIRE(cluster.Leader().has_value());
  const raft_node& leader = cluster.Node(*cluster.Leader());
  REQUIRE(leader.members().size() == 4);
  for (const member& member : leader.members()) {
    CHECK(member.voter);
  }
}

TEST_CASE("snapshot: host behind the compacted log: catches up") {
  fake_cluster cluster(6, 3, 3);
  cluster.RunFor(seconds(4));
  const std::size_t behind = (*cluster.Leader() + 1) % 3;
  cluster.Isolate(behind);
  for (int i = 0; i < 100; ++i) {
    cluster.Propose("c" + std::to_string(i));
    cluster.RunFor(milliseconds(20));
  }
  REQUIRE(cluster.acks.size() == 100);
  cluster.UnblockLinks();
  cluster.RunFor(seconds(4));
  CHECK(cluster.State(behind).size() == 100);
  CheckInvariants(cluster);
}

TEST_CASE(
    "disk: two of eight lost right after an acknowledgement while all "
    "others lose power: command kept") {
  constexpr std::size_t kHosts = 8;
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    fake_cluster cluster(seed, 3, kHosts);
    cluster.RunFor(seconds(12));
    REQUIRE(cluster.Leader().has_value());
    REQUIRE(cluster.Propose("a"));
    while (cluster.acks.empty()) {
      cluster.RunFor(milliseconds(1));
    }
    const std::size_t first = cluster.Below(kHosts);
    const std::size_t second = (first + 1 + cluster.Below(kHosts - 1)) % kHosts;
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (host == first || host == second) {
        cluster.WipeDisk(host);
      } else {
        cluster.Crash(host);
      }
    }
    CheckRecovered(cluster);
  }
}

// Injects faults in random order; at most one disk is lost at a time.
void RunRandomFaults(std::uint32_t seed, std::size_t hosts) {
  fake_cluster cluster(seed, 3, hosts);
  cluster.RunFor(seconds(3));
  int next_command = 0;
  std::optional<std::size_t> wiped;
  time_point wiped_at{};
  for (int round = 0; round < 40; ++round) {
    const std::size_t host = cluster.Below(static_cast<std::uint32_t>(hosts));
    switch (cluster.Below(9)) {
      case 0:
        cluster.Isolate(host);
        break;
      case 1:
        cluster.BlockLink(host, (host + 1) % hosts);
        break;
      case 2:
        cluster.UnblockLinks();
        break;
      case 3:
        cluster.Crash(host);
        break;
      case 4:
        cluster.SetLoss(cluster.Below(30));
        break;
      case 5:
        cluster.SetDiskDelay(host, milliseconds(cluster.Below(2000)));
        break;
      case 6:
        // A disk counts as lost until its host has had time to catch up again.
        if (!wiped) {
          cluster.WipeDisk(host);
          wiped = host;
          wiped_at = cluster.now;
        }
        break;
      default:
        for (std::size_t i = 0; i < hosts; ++i) {
          if (!cluster.IsUp(i)) {
            cluster.Start(i);
          }
        }
    }
    for (int i = 0; i < 5; ++i) {
      cluster.Propose("c" + std::to_string(next_command++));
      cluster.RunFor(milliseconds(100));
    }
    if (wiped && cluster.now - wiped_at > seconds(3)) {
      // End all faults until the wiped host has caught up.
      CheckRecovered(cluster);
      wiped.reset();
    }
    CheckInvariants(cluster);
  }
  CheckRecovered(cluster);
  CHECK(cluster.acks.size() > 10);
}

TEST_CASE("log: random faults on 3 hosts: invariants hold") {
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    RunRandomFaults(seed, 3);
  }
}

TEST_CASE("log: random faults on 5 hosts: invariants hold") {
  for (std::uint32_t seed = 101; seed <= 108; ++seed) {
    CAPTURE(seed);
    RunRandomFaults(seed, 5);
  }
}

// Soak test over further seeds, run on request: QUORUM_SEEDS="first count".
TEST_CASE("log: random faults with QUORUM_SEEDS: invariants hold",
          "[.][soak]") {
  const char* text = std::getenv("QUORUM_SEEDS");
  unsigned first = 1000;
  unsigned count = 100;
  if (text != nullptr) {
    REQUIRE(std::sscanf(text, "%u %u", &first, &count) == 2);
  }
  for (unsigned seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    RunRandomFaults(seed, 3 + seed % 3);
  }
}

}  // namespace
}  // namespace burdocklock::quorum
