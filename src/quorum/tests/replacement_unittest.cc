// Tests of hosts that are replaced one after the other, on virtual time. The
// table in docs/design/007 lists the orders of events.
#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "quorum/tests/fake_cluster.h"
#include "quorum/tests/voter_count.h"

namespace burdocklock::quorum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A lost host counts until its successor has run for this time.
constexpr seconds kCatchUp{4};
constexpr int kSeeds = 40;
constexpr int kLoadSeeds = 4;

enum class replacement_order {
  /// The successor starts first, then the old host is stopped by a signal.
  kPlanned,
  /// The successor starts first, then the old host is lost.
  kSuccessorFirst,
  /// The old host is lost, then the successor starts.
  kSuccessorLater,
  /// The host returns at its address with an empty disk.
  kDiskLost,
};

struct replacement {
  const char* name;
  replacement_order order;
  /// Between the start of the successor and the end of the old host, in the
  /// order given by `order`.
  milliseconds gap;
  bool leader;
};

constexpr replacement kReplacements[] = {
    {"planned, successor 2 s ahead, follower", replacement_order::kPlanned,
     milliseconds(2000), false},
    {"planned, successor 2 s ahead, leader", replacement_order::kPlanned,
     milliseconds(2000), true},
    {"planned, successor 0.1 s ahead, follower", replacement_order::kPlanned,
     milliseconds(100), false},
    {"planned, successor 0.1 s ahead, leader", replacement_order::kPlanned,
     milliseconds(100), true},
    {"planned, successor 3.8 s ahead, follower", replacement_order::kPlanned,
     milliseconds(3800), false},
    {"planned, successor 3.8 s ahead, leader", replacement_order::kPlanned,
     milliseconds(3800), true},
    {"lost, successor 2 s ahead, follower", replacement_order::kSuccessorFirst,
     milliseconds(2000), false},
    {"lost, successor 2 s ahead, leader", replacement_order::kSuccessorFirst,
     milliseconds(2000), true},
    {"lost, successor 0.5 s ahead, leader", replacement_order::kSuccessorFirst,
     milliseconds(500), true},
    {"lost, successor 1 s later, follower", replacement_order::kSuccessorLater,
     milliseconds(1000), false},
    {"lost, successor 1 s later, leader", replacement_order::kSuccessorLater,
     milliseconds(1000), true},
    {"lost, successor at once, follower", replacement_order::kSuccessorLater,
     milliseconds(0), false},
    {"lost, successor at once, leader", replacement_order::kSuccessorLater,
     milliseconds(0), true},
    {"disk lost, back after 1 s, follower", replacement_order::kDiskLost,
     milliseconds(1000), false},
    {"disk lost, back after 1 s, leader", replacement_order::kDiskLost,
     milliseconds(1000), true},
    {"disk lost, back at once, follower", replacement_order::kDiskLost,
     milliseconds(0), false},
    {"disk lost, back at once, leader", replacement_order::kDiskLost,
     milliseconds(0), true},
};

// What clients ask of the leader while hosts are lost; 0 for nothing.
struct client_load {
  const char* name;
  milliseconds between_changes;
  milliseconds between_reads;
};

constexpr client_load kNoLoad{"none", milliseconds(0), milliseconds(0)};
// Shorter and longer gaps than the leader's heartbeat interval of 150 ms.
constexpr client_load kLoads[] = {
    {"a change each 80 ms", milliseconds(80), milliseconds(0)},
    {"a change each 400 ms, a read each 15 ms", milliseconds(400),
     milliseconds(15)},
    {"a read each 100 ms", milliseconds(0), milliseconds(100)},
    {"a change each 5 ms", milliseconds(5), milliseconds(0)},
    {"a change each 10 ms, a read each 5 ms", milliseconds(10),
     milliseconds(5)},
};

// A cluster of 2 * tolerance + 1 hosts of which some are replaced.
class replaced_hosts {
 public:
  replaced_hosts(std::uint32_t seed,
                 std::size_t tolerance,
                 const client_load& load = kNoLoad)
      : tolerance_(tolerance),
        load_(load),
        cluster_(seed,
                 2 * tolerance + 1,
                 2 * tolerance + 1,
                 {.tolerated_losses = static_cast<std::uint32_t>(tolerance)}) {
    cluster_.RunFor(seconds(4));
    REQUIRE(cluster_.Propose("kept"));
    cluster_.RunFor(milliseconds(200));
    REQUIRE(cluster_.acks.size() == 1);
  }

  /// Replaces as many hosts as may be lost together, and runs until they no
  /// longer count.
  void Replace(const replacement& replacement) {
    const std::vector<std::size_t> old = Choose(replacement.leader);
    const bool successor_first =
        replacement.order == replacement_order::kPlanned ||
        replacement.order == replacement_order::kSuccessorFirst;
    if (successor_first) {
      StartSuccessors();
      Run(replacement.gap);
    }
    for (const std::size_t host : old) {
      End(host, replacement.order);
    }
    if (!successor_first) {
      Run(replacement.gap);
      if (replacement.order == replacement_order::kDiskLost) {
        successors_started_ = cluster_.now;
        for (const std::size_t host : old) {
          cluster_.Start(host);
        }
      } else {
        StartSuccessors();
      }
    }
    Run(successors_started_ + kCatchUp - cluster_.now);
  }

  /// Loses further hosts for good; their successors start a second later.
  void LoseOthers(bool leader) {
    for (const std::size_t host : Choose(leader)) {
      cluster_.Crash(host);
    }
    Run(seconds(1));
    StartSuccessors();
    Run(seconds(10));
    cluster_.RunFor(seconds(1));
  }

  void CheckServed() {
    REQUIRE_FALSE(cluster_.diverged);
    REQUIRE(cluster_.Leader().has_value());
    const auto& state = cluster_.State(*cluster_.Leader());
    CHECK(std::count(state.begin(), state.end(), "kept") == 1);
    const std::size_t before = cluster_.acks.size();
    REQUIRE(cluster_.Propose("later"));
    cluster_.RunFor(milliseconds(200));
    CHECK(cluster_.acks.size() == before + 1);
  }

  [[nodiscard]] host_count Count() const { return CountVoters(cluster_); }
  /// Time between the moment from which further losses were borne without a
  /// break, and now.
  [[nodiscard]] duration Spare() const { return cluster_.now - bears_since_; }

 private:
  [[nodiscard]] std::vector<std::size_t> Choose(bool leader) {
    const std::size_t leading = cluster_.Leader().value_or(cluster_.size());
    std::vector<std::size_t> chosen;
    if (leader && leading < cluster_.size()) {
      chosen.push_back(leading);
    }
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (chosen.size() < tolerance_ && cluster_.IsUp(i) && i != leading) {
        chosen.push_back(i);
      }
    }
    return chosen;
  }
  void StartSuccessors() {
    successors_started_ = cluster_.now;
    for (std::size_t i = 0; i < tolerance_; ++i) {
      cluster_.AddHost();
    }
  }
  void End(std::size_t host, replacement_order order) {
    if (order == replacement_order::kPlanned) {
      cluster_.Stop(host);
    } else if (order == replacement_order::kDiskLost) {
      cluster_.WipeDisk(host);
    } else {
      cluster_.Crash(host);
    }
    bears_since_ = cluster_.now;
  }
  void Run(duration time) {
    const time_point end = cluster_.now + time;
    while (cluster_.now < end) {
      AskLeader();
      cluster_.RunFor(milliseconds(5));
      if (!Bears(Count(), tolerance_)) {
        bears_since_ = cluster_.now;
      }
    }
  }

  void AskLeader() {
    if (load_.between_changes > milliseconds(0) &&
        cluster_.now >= next_change_) {
      next_change_ = cluster_.now + load_.between_changes;
      cluster_.Propose("load");
    }
    const auto leader = cluster_.Leader();
    if (load_.between_reads > milliseconds(0) && leader &&
        cluster_.now >= next_read_) {
      next_read_ = cluster_.now + load_.between_reads;
      cluster_.RequestRead(*leader, ++last_read_);
    }
  }

  std::size_t tolerance_;
  client_load load_;
  time_point next_change_{};
  time_point next_read_{};
  std::uint64_t last_read_ = 0;
  fake_cluster cluster_;
  time_point successors_started_{};
  time_point bears_since_{};
};

// Guards against docs/incidents/016: a replaced voter that was still counted
// when another host was lost cost the majority for good.
TEST_CASE(
    "replacement: as many again are lost once successors have caught up: "
    "majority kept") {
  for (const std::size_t tolerance : {1, 2}) {
    for (const replacement& first : kReplacements) {
      for (const bool leader_next : {false, true}) {
        for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
          CAPTURE(tolerance, first.name, leader_next, seed);
          replaced_hosts hosts(seed, tolerance);
          hosts.Replace(first);
          CAPTURE(hosts.Count().voters, hosts.Count().running);
          REQUIRE(Bears(hosts.Count(), tolerance));
          hosts.LoseOthers(leader_next);
          hosts.CheckServed();
        }
      }
    }
  }
}

// Guards against docs/incidents/026: changes and reads put off the heartbeat,
// and with it the promotion of learners and the removal of lost voters.
TEST_CASE(
    "replacement: as many again are lost while clients ask: majority kept") {
  for (const client_load& load : kLoads) {
    for (const std::size_t tolerance : {1, 2}) {
      for (const replacement& first : kReplacements) {
        for (std::uint32_t seed = 1; seed <= kLoadSeeds; ++seed) {
          CAPTURE(load.name, tolerance, first.name, seed);
          replaced_hosts hosts(seed, tolerance, load);
          hosts.Replace(first);
          CAPTURE(hosts.Count().voters, hosts.Count().running);
          REQUIRE(Bears(hosts.Count(), tolerance));
          hosts.LoseOthers(seed % 2 == 0);
          hosts.CheckServed();
        }
      }
    }
  }
}

// Prints the table of docs/design/007.
TEST_CASE("replacement: every order: seconds to spare", "[.report]") {
  for (const std::size_t tolerance : {1, 2}) {
    for (const replacement& first : kReplacements) {
      duration least = seconds(100);
      host_count count;
      for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        replaced_hosts hosts(seed, tolerance);
        hosts.Replace(first);
        least = std::min(least, hosts.Spare());
        count = hosts.Count();
      }
      std::printf("| %zu | %s | %zu of %zu | %.2f |\n", tolerance, first.name,
                  count.running, count.voters,
                  std::chrono::duration<double>(least).count());
    }
  }
}

struct four_host_fixture {
  fake_cluster cluster{7, 3, 4};

  four_host_fixture() {
    cluster.RunFor(seconds(6));
    REQUIRE(cluster.Leader().has_value());
    REQUIRE(CountVoters(cluster).voters == 4);
    REQUIRE(cluster.Propose("kept"));
    cluster.RunFor(milliseconds(200));
  }
  std::size_t Leader() {
    REQUIRE(cluster.Leader().has_value());
    return *cluster.Leader();
  }
};

TEST_CASE_METHOD(four_host_fixture,
                 "membership: voter cut off shortly: stays a voter") {
  const std::size_t paused = (Leader() + 1) % 4;
  cluster.Isolate(paused);
  cluster.RunFor(seconds(1));
  cluster.UnblockLinks();
  cluster.RunFor(seconds(1));
  CHECK(CountVoters(cluster).voters == 4);
  CHECK(cluster.Node(Leader()).FindMember(cluster.Node(paused).self())->voter);
}

TEST_CASE_METHOD(four_host_fixture,
                 "membership: voter cut off for long beside a lost disk: "
                 "majority kept, both vote again") {
  const std::size_t paused = (Leader() + 1) % 4;
  const std::size_t wiped = (Leader() + 2) % 4;
  cluster.Isolate(paused);
  cluster.RunFor(seconds(4));
  cluster.WipeDisk(wiped);
  cluster.RunFor(seconds(2));
  cluster.UnblockLinks();
  cluster.Start(wiped);
  cluster.RunFor(seconds(6));
  const auto& state = cluster.State(Leader());
  CHECK(std::count(state.begin(), state.end(), "kept") == 1);
  CHECK(CountVoters(cluster).voters == 4);
  CHECK(CountVoters(cluster).running == 4);
}

TEST_CASE("membership: voter silent without one to spare: stays a voter") {
  fake_cluster cluster(8, 3, 3);
  cluster.RunFor(seconds(4));
  REQUIRE(cluster.Leader().has_value());
  const std::size_t silent = (*cluster.Leader() + 1) % 3;
  const std::size_t wiped = (*cluster.Leader() + 2) % 3;
  REQUIRE(cluster.Propose("kept"));
  cluster.RunFor(milliseconds(200));
  cluster.Isolate(silent);
  cluster.RunFor(seconds(10));
  CHECK(CountVoters(cluster).voters == 3);
  cluster.WipeDisk(wiped);
  cluster.RunFor(seconds(1));
  cluster.UnblockLinks();
  cluster.RunFor(seconds(4));
  REQUIRE(cluster.Leader().has_value());
  const auto& state = cluster.State(*cluster.Leader());
  CHECK(std::count(state.begin(), state.end(), "kept") == 1);
}

TEST_CASE("membership: host stops without one to spare: stops at once") {
  fake_cluster cluster(9, 3, 3);
  cluster.RunFor(seconds(4));
  REQUIRE(cluster.Leader().has_value());
  const time_point before = cluster.now;
  cluster.Stop((*cluster.Leader() + 1) % 3);
  CHECK(cluster.now == before);
  CHECK(CountVoters(cluster).voters == 3);
}

TEST_CASE_METHOD(four_host_fixture,
                 "membership: host that left starts again: votes again") {
  const std::size_t restarted = Leader();
  cluster.Stop(restarted);
  cluster.RunFor(milliseconds(100));
  CHECK(CountVoters(cluster).voters == 3);
  cluster.RunFor(seconds(2));
  cluster.Start(restarted);
  cluster.RunFor(seconds(3));
  CHECK(CountVoters(cluster).voters == 4);
  CHECK(CountVoters(cluster).running == 4);
}

}  // namespace
}  // namespace burdocklock::quorum
