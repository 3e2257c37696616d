// The replicated log while the disks of its members are full one after another:
// they take no writes for some seconds, and then again.
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "quorum/tests/fake_cluster.h"

namespace burdocklock::quorum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kChangeInterval{150};
constexpr seconds kFullTime{3};
constexpr std::chrono::hours kNoRoom{1};
constexpr milliseconds kSyncTime{5};
// A change is answered in this time, whosever disk is full: a leader is there
// all the while, and a majority has room.
constexpr milliseconds kAnswerTime{500};

struct changing_cluster {
  fake_cluster cluster;
  std::size_t proposed = 0;

  changing_cluster(std::uint32_t seed, std::size_t hosts)
      : cluster(seed, hosts, hosts) {
    cluster.RunFor(seconds(4));
  }

  // One change after another; each is acknowledged before the next.
  void ChangeFor(duration time) {
    const time_point end = cluster.now + time;
    while (cluster.now < end) {
      const std::size_t before = cluster.acks.size();
      RC_ASSERT(cluster.Propose("change " + std::to_string(++proposed)));
      const time_point due = cluster.now + kAnswerTime;
      while (cluster.acks.size() == before && cluster.now < due) {
        cluster.RunFor(milliseconds(5));
      }
      RC_ASSERT(cluster.acks.size() == before + 1);
      cluster.RunFor(kChangeInterval);
    }
  }
  void FillDisk(std::size_t host, duration time) {
    cluster.SetDiskDelay(host, kNoRoom);
    ChangeFor(time);
    cluster.SetDiskDelay(host, kSyncTime);
  }
  // Every member applies the last change and holds a vote.
  void CheckAllCaughtUp() {
    cluster.RunFor(seconds(2));
    RC_ASSERT(!cluster.diverged);
    RC_ASSERT(cluster.Leader().has_value());
    const std::string last = "change " + std::to_string(proposed);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
      RC_ASSERT(!cluster.State(i).empty());
      RC_ASSERT(cluster.State(i).back() == last);
      RC_ASSERT(
          cluster.Node(*cluster.Leader()).FindMember(cluster.Node(i).self()));
    }
  }
};

// Changes stayed unanswered long after the last disk had room again.
TEST_CASE(
    "disks are full one after another, the leader's each time: changes "
    "are acknowledged to the end") {
  rc::prop("leader's disk", [] {
    changing_cluster subject(*rc::gen::inRange<std::uint32_t>(1, 1000),
                             *rc::gen::element<std::size_t>(3, 5));
    for (int round = 0; round < 4; ++round) {
      RC_ASSERT(subject.cluster.Leader().has_value());
      subject.FillDisk(*subject.cluster.Leader(), kFullTime);
    }
    subject.ChangeFor(seconds(4));
    subject.CheckAllCaughtUp();
  });
}

TEST_CASE(
    "disks are full one after another, any host's: changes are "
    "acknowledged to the end, also through snapshots and restarts") {
  rc::prop("any disk", [] {
    changing_cluster subject(*rc::gen::inRange<std::uint32_t>(1, 1000),
                             *rc::gen::element<std::size_t>(3, 5));
    const std::size_t hosts = subject.cluster.size();
    for (int round = 0; round < 4; ++round) {
      const auto full = *rc::gen::inRange<std::size_t>(0, hosts);
      subject.FillDisk(full, milliseconds(*rc::gen::inRange(500, 6000)));
      // A process that ends with a backlog of writes starts without them.
      if (*rc::gen::inRange(0, 3) == 0 &&
          subject.cluster.Leader() != std::optional(full)) {
        subject.cluster.Crash(full);
        subject.cluster.Start(full);
        subject.cluster.RunFor(seconds(2));
      }
    }
    subject.ChangeFor(seconds(4));
    subject.CheckAllCaughtUp();
  });
}

// The leader is stopped while its disk is full: what it acknowledged stays.
TEST_CASE(
    "leader's disk is full and its process ends: another leads with "
    "every acknowledged change") {
  rc::prop("leader ends", [] {
    changing_cluster subject(*rc::gen::inRange<std::uint32_t>(1, 1000), 3);
    fake_cluster& cluster = subject.cluster;
    const std::size_t leader = *cluster.Leader();
    cluster.SetDiskDelay(leader, kNoRoom);
    subject.ChangeFor(milliseconds(*rc::gen::inRange(200, 8000)));
    cluster.Crash(leader);
    cluster.RunFor(seconds(4));
    RC_ASSERT(cluster.Leader().has_value());
    RC_ASSERT(cluster.State(*cluster.Leader()).size() == subject.proposed);
    cluster.SetDiskDelay(leader, kSyncTime);
    cluster.Start(leader);
    cluster.RunFor(seconds(4));
    subject.ChangeFor(seconds(1));
    subject.CheckAllCaughtUp();
  });
}

}  // namespace
}  // namespace burdocklock::quorum
