// Drawn faults in the middle of elections, on virtual time: processes end and
// start again or pause, disks are slow, links carry nothing in one direction,
// packets are lost. More hosts than the tolerance may be struck at once, so
// that only safety holds meanwhile; a leader must be there soon after.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "quorum/tests/fake_cluster.h"

namespace burdocklock::quorum {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The generator ignores the last bits of a seed.
constexpr std::uint32_t kSeedStep = 16;
constexpr seconds kFaults{20};
// Without a fault there is a leader within this time.
constexpr seconds kContact{4};
constexpr seconds kCatchUp{6};
constexpr milliseconds kStep{10};
constexpr milliseconds kChangeInterval{100};
constexpr milliseconds kFastSync{5};

class drawn_elections {
 public:
  drawn_elections(std::uint32_t seed, std::size_t hosts)
      : cluster_(kSeedStep * seed,
                 hosts,
                 hosts,
                 {.tolerated_losses = hosts == 3 ? 1U : 2U}) {
    cluster_.RunFor(seconds(4));
    loss_most_ = cluster_.Below(3) * 35;
    sync_most_ =
        std::vector<std::uint32_t>{5, 300, 1000, 3000}[cluster_.Below(4)];
    pace_most_ = 100 + cluster_.Below(1500);
  }

  /// Returns the events and what went wrong, or nothing.
  std::string Run() {
    const time_point end = cluster_.now + kFaults;
    time_point next_fault = cluster_.now;
    while (cluster_.now < end) {
      if (cluster_.now >= next_fault) {
        Strike();
        next_fault = cluster_.now + Draw(0, pace_most_);
      }
      Step();
    }
    EndFaults();
    AwaitLeader();
    const time_point settled = cluster_.now + kCatchUp;
    while (cluster_.now < settled) {
      Step();
    }
    CheckKept();
    return problem_.empty() ? "" : history_ + problem_;
  }
  /// From the end of the faults to a leader.
  [[nodiscard]] milliseconds leaderless() const { return leaderless_; }

 private:
  [[nodiscard]] milliseconds Draw(std::uint32_t least, std::uint32_t most) {
    return milliseconds(least + cluster_.Below(most - least + 1));
  }
  [[nodiscard]] std::size_t DrawHost() {
    return cluster_.Below(static_cast<std::uint32_t>(cluster_.size()));
  }
  void Note(const std::string& event) {
    history_ += std::to_string(std::chrono::duration_cast<milliseconds>(
                                   cluster_.now.time_since_epoch())
                                   .count()) +
                " " + event + "\n";
  }

  void Step() {
    if (cluster_.now >= next_change_) {
      next_change_ = cluster_.now + kChangeInterval;
      cluster_.ProposeEverywhere(std::to_string(change_++));
    }
    for (auto back = back_.begin(); back != back_.end();) {
      if (back->second <= cluster_.now) {
        Return(back->first);
        back = back_.erase(back);
      } else {
        ++back;
      }
    }
    cluster_.RunFor(kStep);
  }
  void Return(std::size_t host) {
    if (cluster_.IsUp(host)) {
      Note("goes on " + std::to_string(host));
      cluster_.Resume(host);
    } else {
      Note("started " + std::to_string(host));
      cluster_.Start(host);
    }
  }

  // A leader or a candidate often.
  [[nodiscard]] std::size_t ChooseHost() {
    const std::uint32_t kind = cluster_.Below(3);
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!cluster_.IsUp(i)) {
        continue;
      }
      const raft_role role = cluster_.Node(i).role();
      if ((kind == 0 && role == raft_role::kLeader) ||
          (kind == 1 && role == raft_role::kCandidate)) {
        return i;
      }
    }
    return DrawHost();
  }
  void Strike() {
    const std::size_t host = ChooseHost();
    switch (cluster_.Below(11)) {
      case 0:
      case 1:
        return Away(host, false);
      case 2:
        return Away(host, true);
      case 3:
        return SlowDisk(host);
      case 8:
      case 9:
        return RestartSome();
      case 10:
        return PauseAll();
      case 4:
        return SlowDisks();
      case 5:
        return CutOneWay(host);
      case 6:
        Note("links carry again");
        cluster_.UnblockLinks();
        return;
      default:
        return Disturb();
    }
  }
  void Away(std::size_t host, bool pauses) {
    if (back_.contains(host)) {
      return;
    }
    Note((pauses ? "paused " : "killed ") + std::to_string(host));
    if (pauses) {
      cluster_.Pause(host);
    } else {
      cluster_.Crash(host);
    }
    back_[host] = cluster_.now + Draw(0, cluster_.Below(2) == 0 ? 300 : 4000);
  }
  // What they were writing is lost, and they are there again at once.
  void RestartSome() {
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!back_.contains(i) && cluster_.Below(2) == 0) {
        Note("restarted " + std::to_string(i));
        cluster_.Crash(i);
        cluster_.Start(i);
      }
    }
  }
  // Then the timers of all are due at once, and several stand in one term.
  void PauseAll() {
    const time_point until = cluster_.now + Draw(100, 2500);
    Note("all pause");
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      if (!back_.contains(i)) {
        cluster_.Pause(i);
        back_[i] = until;
      }
    }
  }
  void SlowDisk(std::size_t host) {
    const milliseconds delay = Draw(5, sync_most_);
    Note("syncs of " + std::to_string(delay.count()) + " ms " +
         std::to_string(host));
    cluster_.SetDiskDelay(host, delay);
  }
  void SlowDisks() {
    const milliseconds least = Draw(5, sync_most_);
    const milliseconds more = Draw(0, sync_most_);
    Note("all syncs of " + std::to_string(least.count()) + " ms, up to " +
         std::to_string(more.count()) + " longer");
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      cluster_.SetDiskDelay(i, least);
    }
    cluster_.SetDelays(Draw(0, 200), more);
  }
  void CutOneWay(std::size_t host) {
    const std::uint32_t kind = cluster_.Below(3);
    Note(std::vector<std::string>{"hears nobody ", "is not heard ",
                                  "one link cut "}[kind] +
         std::to_string(host));
    if (kind == 2) {
      cluster_.BlockLink(host, DrawHost());
      return;
    }
    for (std::size_t other = 0; other < cluster_.size(); ++other) {
      if (kind == 0) {
        cluster_.BlockLink(other, host);
      } else {
        cluster_.BlockLink(host, other);
      }
    }
  }
  void Disturb() {
    const std::uint32_t loss = cluster_.Below(loss_most_ + 1);
    Note("packets lost, percent: " + std::to_string(loss));
    cluster_.SetLoss(loss);
  }

  void EndFaults() {
    Note("faults end");
    cluster_.UnblockLinks();
    cluster_.SetLoss(0);
    cluster_.SetDelays(milliseconds(0), milliseconds(0));
    for (std::size_t i = 0; i < cluster_.size(); ++i) {
      cluster_.SetDiskDelay(i, kFastSync);
    }
    for (const auto& [host, time] : back_) {
      Return(host);
    }
    back_.clear();
  }
  void AwaitLeader() {
    const time_point since = cluster_.now;
    const seconds most{30};
    while (!cluster_.Leader() && cluster_.now < since + most) {
      Step();
    }
    leaderless_ =
        std::chrono::duration_cast<milliseconds>(cluster_.now - since);
    if (leaderless_ > kContact) {
      problem_ += "no leader for " + std::to_string(leaderless_.count()) +
                  " ms after the faults. ";
    }
  }
  void CheckKept() {
    if (cluster_.diverged) {
      problem_ += "logs differ. ";
    }
    for (const auto& [term, members] : cluster_.leaders) {
      if (members.size() > 1) {
        problem_ += "two led in term " + std::to_string(term.value()) + ". ";
      }
    }
    const auto leader = cluster_.Leader();
    if (!leader) {
      problem_ += "none leads. ";
      return;
    }
    const auto& state = cluster_.State(*leader);
    const std::set<std::string> held(state.begin(), state.end());
    for (const auto& ack : cluster_.acks) {
      if (!held.contains(ack.command)) {
        problem_ += "acknowledged change " + ack.command + " is lost. ";
      }
    }
    if (cluster_.acks.empty()) {
      problem_ += "nothing was acknowledged. ";
    }
  }

  fake_cluster cluster_;
  std::uint32_t loss_most_ = 0;
  /// Of this run's syncs, ms.
  std::uint32_t sync_most_ = 0;
  /// Between two faults, ms.
  std::uint32_t pace_most_ = 0;
  /// Hosts that are away, and until when.
  std::map<std::size_t, time_point> back_;
  milliseconds leaderless_{};
  std::string history_;
  std::string problem_;
  int change_ = 0;
  time_point next_change_{};
};

TEST_CASE(
    "drawn elections: faults in the middle: one leader a term, logs agree, "
    "acknowledged changes are kept, a leader soon after") {
  for (const std::size_t hosts : {3, 5, 8}) {
    for (std::uint32_t seed = 1; seed <= 100; ++seed) {
      CAPTURE(hosts, seed);
      CHECK(drawn_elections(seed, hosts).Run() == "");
    }
  }
}

// Further seeds, run on request: DRAWN_SEEDS="first count".
TEST_CASE("drawn elections with DRAWN_SEEDS: safe, a leader soon after",
          "[.][soak]") {
  const char* text = std::getenv("DRAWN_SEEDS");
  unsigned first = 1000;
  unsigned count = 100;
  if (text != nullptr) {
    REQUIRE(std::sscanf(text, "%u %u", &first, &count) == 2);
  }
  milliseconds longest{};
  for (unsigned seed = first; seed < first + count; ++seed) {
    for (const std::size_t hosts : {3, 5, 8}) {
      CAPTURE(hosts, seed);
      drawn_elections run(seed, hosts);
      CHECK(run.Run() == "");
      longest = std::max(longest, run.leaderless());
    }
  }
  WARN("longest without a leader after the faults, ms: " << longest.count());
}

}  // namespace
}  // namespace burdocklock::quorum
