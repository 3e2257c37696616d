// What routers serve while no control host leads, and once one leads again.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "control/tests/control_fixture.h"

namespace burdocklock::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Stated targets: a daemon that runs and can reach others is in contact with
// them, a change is in force once a leader is there, and a host with an empty
// disk has caught up.
constexpr seconds kContact{4};
constexpr milliseconds kApply{2500};
constexpr seconds kCatchUp{6};

// Eight control hosts, of which routers are told the first three.
struct unled_fixture : fleet_fixture<8, 2> {
  static constexpr std::size_t kTold = 3;

  unled_fixture() : fleet_fixture(2) {}

  // Between the daemons that `is_cut` names and all other control hosts.
  template <typename Predicate>
  void CutHosts(Predicate is_cut) {
    for (std::size_t a = 0; a < kHosts; ++a) {
      for (std::size_t b = 0; b < kHosts; ++b) {
        if (a != b && is_cut(a)) {
          network.Disconnect(a, b);
        }
      }
    }
  }
  // All hosts run, routers reach them, and none leads.
  void EndLeadership() {
    CutHosts([](std::size_t) { return true; });
    RunFor(seconds(2));
    REQUIRE_FALSE(FindLeader().has_value());
  }
  void Heal() { network.disconnected.clear(); }
  // Leaves the router links to these hosts alone.
  void Leave(std::size_t router, const std::set<std::size_t>& reachable) {
    for (std::size_t host = 0; host < kHosts; ++host) {
      if (!reachable.contains(host)) {
        network.Disconnect(kHosts + router, host);
      }
    }
  }
  std::optional<std::size_t> FindLeader() const {
    for (std::size_t i = 0; i < kHosts; ++i) {
      if (hosts[i]->raft().role() == quorum::raft_role::kLeader &&
          hosts[i]->raft().IsCurrent(network.now)) {
        return i;
      }
    }
    return std::nullopt;
  }
  void AwaitLeader() {
    const time_point end = network.now + seconds(20);
    while (!FindLeader() && network.now < end) {
      RunFor(milliseconds(2));
    }
    REQUIRE(FindLeader().has_value());
  }
  // The told hosts keep version 5; all others apply version 6.
  void LetToldHostsLag() {
    REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
    RunFor(seconds(1));
    CutHosts([](std::size_t host) { return host < kTold; });
    RunFor(seconds(1));
    AwaitLeader();
    RunFor(seconds(3));
    REQUIRE(Replace(Leader(), 6, "six") == command_status::kDone);
    RunFor(seconds(1));
    for (std::size_t host = 0; host < kHosts; ++host) {
      REQUIRE(VersionAt(host) == (host < kTold ? 5 : 6));
    }
  }
  std::uint64_t VersionAt(std::size_t host) const {
    return hosts[host]->state().contents().version;
  }
  // Its process ends, and its links with it.
  void Stop(std::size_t daemon) {
    for (auto it = network.connections.begin();
         it != network.connections.end();) {
      const auto [id, ends] = *it;
      ++it;
      if (ends.from != daemon && ends.to != daemon) {
        continue;
      }
      TellDown(id);
      if (ends.from == daemon) {
        network.connections.erase(id);
        network.down.erase(id);
      } else {
        network.down[id] = network.now + milliseconds(200);
      }
    }
  }
  void RestartRouter(std::size_t router) {
    Stop(kHosts + router);
    StartRouter(router);
  }
  void RestartHost(std::size_t host) {
    Stop(host);
    StartHost(host);
  }
  void LoseDisk(std::size_t host) {
    Stop(host);
    ports[host]->disk = {
        .self = quorum::member_id("successor" + std::to_string(host))};
    StartHost(host);
  }
  // Until `is_met`, `limit` at most.
  template <typename Predicate>
  bool RunUntil(duration limit, Predicate is_met) {
    const time_point end = network.now + limit;
    while (!is_met() && network.now < end) {
      RunFor(milliseconds(2));
    }
    return is_met();
  }
  bool AllServe(std::uint64_t version) const {
    return std::all_of(views.begin(), views.end(), [&](const auto& view) {
      return view->state.version == version;
    });
  }
};

TEST_CASE_METHOD(unled_fixture,
                 "no leader: a router restarts, told hosts are up to date: it "
                 "serves their version") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  RunFor(seconds(1));
  EndLeadership();
  RestartRouter(0);
  RunFor(kContact);
  CHECK(views[0]->state.document == "five");
}

TEST_CASE_METHOD(unled_fixture,
                 "no leader: a router loses its links for 6 s: it keeps its "
                 "version, and is in contact soon after") {
  LetToldHostsLag();
  EndLeadership();
  Leave(0, {});
  RunFor(seconds(6));
  CHECK_FALSE(views[0]->connected);
  CHECK(views[0]->state.document == "six");
  Heal();
  CutHosts([](std::size_t) { return true; });
  RunFor(kContact);
  CHECK(views[0]->connected);
  CHECK(views[0]->state.document == "six");
  CHECK_FALSE(views[0]->revision_decreased);
}

TEST_CASE_METHOD(unled_fixture,
                 "no leader: only successors without a state are reachable: "
                 "routers keep theirs, a new one takes the first there is") {
  LetToldHostsLag();
  EndLeadership();
  for (std::size_t host = 0; host < kTold; ++host) {
    LoseDisk(host);
  }
  Leave(0, {0, 1, 2});
  Leave(1, {0, 1, 2});
  RestartRouter(1);
  RunFor(kContact);
  CHECK(views[0]->state.document == "six");
  CHECK(views[1]->applied_revision == state_revision());
  Heal();
  AwaitLeader();
  CHECK(RunUntil(kApply, [&] { return AllServe(6); }));
  CHECK_FALSE(views[0]->revision_decreased);
}

TEST_CASE_METHOD(unled_fixture,
                 "a leader is back: every router has the newest acknowledged "
                 "version within the bound") {
  LetToldHostsLag();
  EndLeadership();
  RestartRouter(1);
  Leave(0, {0});
  Leave(1, {1});
  RunFor(seconds(6));
  Heal();
  AwaitLeader();
  CHECK(RunUntil(kApply, [&] { return AllServe(6); }));
  CHECK_FALSE(views[0]->revision_decreased);
  CHECK_FALSE(views[1]->revision_decreased);
}

TEST_CASE_METHOD(unled_fixture,
                 "all hosts restart, a leader is back: every router has the "
                 "newest acknowledged version within the bound") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  for (std::size_t host = 0; host < kHosts; ++host) {
    RestartHost(host);
  }
  RestartRouter(1);
  AwaitLeader();
  CHECK(RunUntil(kApply, [&] { return AllServe(5); }));
}

TEST_CASE_METHOD(unled_fixture,
                 "a leader acknowledges and is lost at once: routers have the "
                 "version within the bound of the next leader") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  RunFor(seconds(1));
  const std::size_t lost = Leader();
  const auto status =
      std::make_shared<command_status>(command_status::kUnknown);
  hosts[lost]->SetTime(network.now);
  hosts[lost]->ReplaceConfiguration(6, "six",
                                    [this, lost, status](const auto& outcome) {
                                      *status = outcome.status;
                                      Isolate(lost);
                                    });
  REQUIRE(
      RunUntil(seconds(2), [&] { return *status == command_status::kDone; }));
  std::erase_if(network.packets, [&](const auto& packet) {
    const auto opened = network.OpenedAs(packet.to, packet.link);
    const auto& ends = network.connections.at(*opened);
    return ends.from == lost || ends.to == lost;
  });
  CHECK(AllServe(5));
  RunFor(seconds(1));
  AwaitLeader();
  REQUIRE(FindLeader() != lost);
  CHECK(RunUntil(kApply, [&] { return AllServe(6); }));
}

TEST_CASE_METHOD(unled_fixture,
                 "links of a router are silent for 6 s while versions change: "
                 "it has the newest within contact and the bound") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  Leave(0, {});
  RunFor(seconds(3));
  REQUIRE(Replace(Leader(), 6, "six") == command_status::kDone);
  RunFor(seconds(3));
  CHECK(views[0]->state.document == "five");
  Heal();
  CHECK(RunUntil(kContact, [&] { return AllServe(6); }));
}

TEST_CASE_METHOD(unled_fixture,
                 "no leader: a router restarts, the hosts that it is told lag: "
                 "it serves the newest version that a host has applied") {
  LetToldHostsLag();
  EndLeadership();
  RestartRouter(0);
  CHECK(RunUntil(kContact, [&] { return views[0]->state.version > 0; }));
  CHECK(views[0]->state.document == "six");
  CHECK_FALSE(views[0]->revision_decreased);
}

TEST_CASE_METHOD(unled_fixture,
                 "no leader: only a host that lags is reachable: a router with "
                 "a newer version keeps it, a new one takes what there is") {
  LetToldHostsLag();
  EndLeadership();
  Leave(0, {1});
  Leave(1, {1});
  RestartRouter(1);
  RunFor(kContact);
  CHECK(views[0]->state.document == "six");
  CHECK(views[1]->state.document == "five");
  Heal();
  CutHosts([](std::size_t) { return true; });
  RunFor(kContact);
  CHECK(AllServe(6));
  CHECK_FALSE(views[0]->revision_decreased);
  CHECK_FALSE(views[1]->revision_decreased);
}

TEST_CASE_METHOD(unled_fixture,
                 "changes in quick succession: a router that reaches a "
                 "follower alone is behind by no more than the bound") {
  const std::size_t follower = (Leader() + 1) % kHosts;
  Leave(0, {follower});
  network.configurations = 0;
  std::uint64_t version = 0;
  for (time_point end = network.now + seconds(6); network.now < end;) {
    ++version;
    REQUIRE(Replace(Leader(), version, "v" + std::to_string(version)) ==
            command_status::kDone);
  }
  // Each change took 0.1 s.
  const auto behind = static_cast<std::uint64_t>(kApply / milliseconds(100));
  CHECK(views[0]->state.version + behind >= version);
  // Each is sent once by the leader, and at most once by the follower.
  CHECK(network.configurations <= 2 * version);
}

TEST_CASE_METHOD(unled_fixture,
                 "host behind the leader's log: its snapshot is lost on the "
                 "way: it does not call its state the newest") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  RunFor(seconds(1));
  const std::size_t behind = (Leader() + 1) % kHosts;
  CutHosts([&](std::size_t host) { return host == behind; });
  RunFor(seconds(1));
  for (std::uint64_t version = 6; version < 150; ++version) {
    REQUIRE(Replace(Leader(), version, "v" + std::to_string(version)) ==
            command_status::kDone);
  }
  Heal();
  bool said_newest = false;
  for (time_point end = network.now + seconds(8); network.now < end;) {
    network.now += milliseconds(2);
    Step();
    std::erase_if(network.packets, [&](const auto& packet) {
      const auto* quorum = std::get_if<quorum_envelope>(&packet.contents);
      return packet.to == behind && quorum != nullptr &&
             std::holds_alternative<quorum::snapshot_request>(quorum->contents);
    });
    said_newest |= hosts[behind]->raft().IsCurrent(network.now);
  }
  CHECK(VersionAt(behind) == 5);
  CHECK_FALSE(said_newest);
}

TEST_CASE_METHOD(unled_fixture,
                 "host with an empty disk: links to it were silent before it "
                 "joined: it votes within the bound after they are back") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  const std::size_t lost = (Leader() + 1) % kHosts;
  LoseDisk(lost);
  // Others have introduced themselves; it has not asked to join yet.
  RunFor(milliseconds(300));
  Isolate(lost);
  RunFor(milliseconds(1600));
  Heal();
  const auto votes = [&] {
    const quorum::member* added =
        hosts[Leader()]->raft().FindMember(ports[lost]->disk.self);
    return added != nullptr && added->voter;
  };
  CHECK(RunUntil(kCatchUp, votes));
}

TEST_CASE_METHOD(unled_fixture,
                 "no leader: of the hosts that a restarted router is told two "
                 "have lost their disks, one is cut off: it finds others") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  RunFor(seconds(1));
  network.drops_quorum = true;
  RunFor(seconds(3));
  REQUIRE_FALSE(FindLeader().has_value());
  LoseDisk(0);
  LoseDisk(1);
  Leave(0, {0, 1, 3, 4, 5, 6, 7});
  RestartRouter(0);
  CHECK(RunUntil(kContact, [&] { return views[0]->state.version > 0; }));
  CHECK(views[0]->state.document == "five");
}

}  // namespace
}  // namespace burdocklock::control
