// What members tell operators about attempts to become leader.
#include <chrono>
#include <optional>

#include <catch2/catch.hpp>

#include "quorum/tests/fake_cluster.h"

namespace burdocklock::quorum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct electing_cluster {
  fake_cluster cluster{16, 5, 5};
  std::size_t leader = 0;

  electing_cluster() {
    cluster.RunFor(seconds(4));
    leader = *cluster.Leader();
  }
  [[nodiscard]] std::size_t Follower(std::size_t number) const {
    return (leader + number) % 5;
  }
  [[nodiscard]] const raft_node& FollowerNode(std::size_t number) const {
    return cluster.Node(Follower(number));
  }
  [[nodiscard]] election_result LastResult(std::size_t number) const {
    const auto& note = FollowerNode(number).last_election();
    REQUIRE(note.has_value());
    return note->result;
  }
};

TEST_CASE_METHOD(electing_cluster,
                 "election: won: the leader tells its votes and counts none "
                 "as lost") {
  const raft_node& node = cluster.Node(leader);
  REQUIRE(node.last_election().has_value());
  CHECK(node.last_election()->result == election_result::kWon);
  CHECK(node.last_election()->term == node.term());
  CHECK(node.last_election()->votes >= 3);
  CHECK(node.elections_lost() == 0);
  CHECK(cluster.now - node.leader_since() < seconds(4));
}

TEST_CASE_METHOD(electing_cluster,
                 "election: two voters of five run: few responses, each "
                 "attempt is counted until a leader is heard") {
  cluster.Crash(leader);
  cluster.Crash(Follower(1));
  cluster.Crash(Follower(2));
  cluster.RunFor(seconds(8));
  CHECK(LastResult(3) == election_result::kFewResponses);
  CHECK(FollowerNode(3).last_election()->responses == 2);
  CHECK(FollowerNode(3).elections_lost() >= 4);
  CHECK(FollowerNode(3).leader().value().empty());
  CHECK(cluster.now - FollowerNode(3).leader_since() >= seconds(6));
  cluster.Start(leader);
  cluster.RunFor(seconds(5));
  CHECK(FollowerNode(3).elections_lost() == 0);
}

TEST_CASE_METHOD(electing_cluster,
                 "election: disks stall: the own vote is not stored") {
  cluster.Crash(leader);
  for (std::size_t number = 1; number < 5; ++number) {
    cluster.SetDiskDelay(Follower(number), seconds(30));
  }
  cluster.RunFor(seconds(8));
  bool is_told = false;
  for (std::size_t number = 1; number < 5; ++number) {
    const auto& note = FollowerNode(number).last_election();
    is_told |= note && note->result == election_result::kOwnVoteNotStored;
  }
  CHECK(is_told);
}

TEST_CASE("election: a host without members: is no voter") {
  fake_cluster cluster(16, 1, 2);
  cluster.Crash(0);
  cluster.RunFor(seconds(4));
  REQUIRE(cluster.Node(1).last_election().has_value());
  CHECK(cluster.Node(1).last_election()->result == election_result::kNotVoter);
}

}  // namespace
}  // namespace burdocklock::quorum
