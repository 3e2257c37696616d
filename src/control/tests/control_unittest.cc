// Propagation of operator state, targets and load between control hosts and
// routers.
#include <chrono>
#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "control/tests/control_fixture.h"

namespace burdocklock::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE_METHOD(control_fixture,
                 "configuration: acknowledged: in force at every router") {
  CHECK(Replace(Leader(), 5, "five") == command_status::kDone);
  for (const auto& view : views) {
    CHECK(view->state.document == "five");
  }
}

TEST_CASE_METHOD(
    control_fixture,
    "configuration: lower version: acknowledged, changes nothing") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  CHECK(Replace(Leader(), 4, "four") == command_status::kDone);
  CHECK(Replace(Leader(), 5, "other") == command_status::kDone);
  CHECK(Read(Leader()).document == "five");
  CHECK(views[0]->state.document == "five");
}

TEST_CASE_METHOD(control_fixture,
                 "configuration: sent to a follower: the leader is returned") {
  const std::size_t leader = Leader();
  command_outcome outcome;
  hosts[(leader + 1) % kHosts]->ReplaceConfiguration(
      1, "one", [&](const command_outcome& result) { outcome = result; });
  CHECK(outcome.status == command_status::kNotLeader);
  CHECK(outcome.leader == CommandEndpoint(leader));
}

TEST_CASE_METHOD(control_fixture,
                 "configuration: at an isolated leader: outcome unknown") {
  const std::size_t old_leader = Leader();
  REQUIRE(Replace(old_leader, 5, "five") == command_status::kDone);
  Isolate(old_leader);
  CHECK(Replace(old_leader, 6, "six") == command_status::kUnknown);
  RunFor(seconds(3));
  CHECK(Replace(Leader(), 7, "seven") == command_status::kDone);
  CHECK(Read(old_leader).status != command_status::kDone);
  network.disconnected.clear();
  RunFor(seconds(4));
  CHECK(Read(Leader()).document == "seven");
  for (const auto& view : views) {
    CHECK(view->state.document == "seven");
    CHECK_FALSE(view->revision_decreased);
  }
}

// The record of a minute without a leader could not tell why.
TEST_CASE_METHOD(control_fixture,
                 "configuration: no majority runs: the answer says who leads, "
                 "how many voters are linked and how elections end") {
  const std::size_t alone = (Leader() + 1) % kHosts;
  Isolate(alone);
  RunFor(seconds(5));
  command_outcome outcome;
  hosts[alone]->SetTime(network.now);
  hosts[alone]->ReplaceConfiguration(
      1, "one", [&](const command_outcome& result) { outcome = result; });
  CHECK(outcome.status == command_status::kNotLeader);
  CHECK_FALSE(outcome.leader.has_value());
  REQUIRE(outcome.led_by.has_value());
  CHECK(outcome.led_by->leader.value().empty());
  CHECK(outcome.led_by->known_for >= seconds(3));
  CHECK(outcome.led_by->voters == 3);
  CHECK(outcome.led_by->voters_linked == 1);
  CHECK(outcome.led_by->elections_lost >= 2);
  REQUIRE(outcome.led_by->last_election.has_value());
  CHECK(outcome.led_by->last_election->result ==
        quorum::election_result::kFewResponses);
  const leadership at_leader = hosts[Leader()]->Leadership(network.now);
  CHECK(at_leader.voters_responding == 2);
  CHECK(at_leader.elections_lost == 0);
}

// A host that was stopped while its caller waited never ended.
TEST_CASE_METHOD(control_fixture,
                 "commands: the host stops while they are pending: all are "
                 "answered as unknown, later ones at once") {
  const std::size_t leader = Leader();
  Isolate(leader);
  std::vector<command_status> answers;
  const auto note = [&](const command_outcome& outcome) {
    answers.push_back(outcome.status);
  };
  hosts[leader]->SetTime(network.now);
  hosts[leader]->ReplaceConfiguration(1, "one", note);
  hosts[leader]->ReadConfiguration(note);
  REQUIRE(answers.empty());
  hosts[leader]->EndCommands();
  hosts[leader]->ReplaceConfiguration(2, "two", note);
  hosts[leader]->ReadConfiguration(note);
  CHECK(answers == std::vector(4, command_status::kUnknown));
}

// Hosts sent what none of them keeps to one another again and again.
TEST_CASE_METHOD(control_fixture,
                 "evidence: more than is kept: each host sends it on once") {
  crashes::evidence much;
  for (std::uint64_t id = 0; id < crashes::kMaxServed + 400; ++id) {
    much.served.push_back(
        {.key = {.pool = pool_id("llm"), .id = id}, .age_ms = 2000 - id});
  }
  network.evidence_updates = 0;
  Notice(0, much);
  RunFor(seconds(4));
  // From the router to each host, and from each host to all others.
  CHECK(network.evidence_updates <= kHosts + kHosts * (kHosts - 1 + kRouters));
}

// Nobody that it was told of ran, and it never became a member again.
TEST_CASE_METHOD(control_fixture,
                 "lost disk: none of the told hosts runs: joins by the links "
                 "of those that know its address") {
  constexpr std::size_t kNobody = 9;
  const std::size_t lost = (Leader() + 1) % kHosts;
  const quorum::member_id successor("successor");
  network.Disconnect(lost, kNobody);
  ports[lost]->disk = {.self = successor};
  StartHost(lost, {LinkEndpoint(kNobody)});
  RunFor(seconds(4));
  const quorum::member* added = hosts[Leader()]->raft().FindMember(successor);
  REQUIRE(added != nullptr);
  CHECK(added->voter);
}

TEST_CASE_METHOD(control_fixture,
                 "router: restarted next to an outdated control host: applies "
                 "no old state while others are current") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  const std::size_t behind = (Leader() + 1) % kHosts;
  for (std::size_t other = 0; other < kHosts; ++other) {
    network.Disconnect(behind, other);
  }
  RunFor(seconds(3));
  REQUIRE(Replace(Leader(), 6, "six") == command_status::kDone);
  StartRouter(0);
  RunFor(milliseconds(1500));
  CHECK(views[0]->state.document == "six");
}

TEST_CASE_METHOD(control_fixture,
                 "router: restarted while no control host can confirm its "
                 "state: applies it after a delay") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  // Followers learn of the commit with the next heartbeat.
  RunFor(milliseconds(500));
  Isolate((Leader() + 1) % kHosts);
  Isolate(Leader());
  // Before that, the follower's last contact with the leader is recent enough
  // to confirm its state.
  RunFor(seconds(1));
  StartRouter(0);
  RunFor(milliseconds(1500));
  CHECK(views[0]->applied_revision == state_revision());
  RunFor(seconds(2));
  CHECK(views[0]->state.document == "five");
}

TEST_CASE_METHOD(control_fixture,
                 "all control hosts restarted: acknowledged state is kept") {
  REQUIRE(Replace(Leader(), 5, "five") == command_status::kDone);
  for (std::size_t i = 0; i < kHosts; ++i) {
    StartHost(i);
  }
  network.packets.clear();
  RunFor(seconds(5));
  CHECK(Read(Leader()).document == "five");
}

TEST_CASE_METHOD(control_fixture,
                 "many configurations: log compacted, restart keeps the last") {
  for (std::uint64_t version = 1; version <= 150; ++version) {
    REQUIRE(Replace(Leader(), version, "v" + std::to_string(version)) ==
            command_status::kDone);
  }
  CHECK(ports[Leader()]->disk.entries.size() < 100);
  for (std::size_t i = 0; i < kHosts; ++i) {
    StartHost(i);
  }
  RunFor(seconds(5));
  CHECK(Read(Leader()).document == "v150");
}

TEST_CASE_METHOD(control_fixture, "outage: set and cleared: sent to routers") {
  command_status status = command_status::kUnknown;
  const auto record_status = [&](const command_outcome& o) {
    status = o.status;
  };
  hosts[Leader()]->SetOutage(data_centre_id("cheras"), true, record_status);
  RunFor(milliseconds(100));
  CHECK(status == command_status::kDone);
  CHECK(views[1]->state.out.contains(data_centre_id("cheras")));
  hosts[Leader()]->SetOutage(data_centre_id("cheras"), false, record_status);
  RunFor(milliseconds(100));
  CHECK(views[1]->state.out.empty());
  hosts[Leader()]->SetOutage(data_centre_id("nowhere"), true, record_status);
  CHECK(status == command_status::kUnknownDataCentre);
}

TEST_CASE_METHOD(
    control_fixture,
    "target: leaves: routers notified in 50 ms, late announcements ignored") {
  hosts[0]->SetTime(network.now);
  hosts[0]->Announce(MakeTarget(1, 7, targets::target_state::kReady));
  RunFor(milliseconds(50));
  REQUIRE(views[0]->targets.contains(target_id("t")));
  hosts[1]->SetTime(network.now);
  hosts[1]->Announce(MakeTarget(1, 9, targets::target_state::kLeaving));
  RunFor(milliseconds(50));
  CHECK(views[0]->targets[target_id("t")].state ==
        targets::target_state::kLeaving);
  hosts[2]->SetTime(network.now);
  hosts[2]->Announce(MakeTarget(1, 8, targets::target_state::kReady));
  RunFor(seconds(2));
  CHECK(views[0]->targets[target_id("t")].state ==
        targets::target_state::kLeaving);
}

TEST_CASE_METHOD(
    control_fixture,
    "target: withdrawn, then restarted: only new incarnation accepted") {
  hosts[0]->SetTime(network.now);
  hosts[0]->Announce(MakeTarget(1, 7, targets::target_state::kReady));
  RunFor(milliseconds(50));
  hosts[1]->SetTime(network.now);
  hosts[1]->Withdraw(target_id("t"), std::nullopt);
  RunFor(milliseconds(50));
  hosts[0]->SetTime(network.now);
  hosts[0]->Announce(MakeTarget(1, 8, targets::target_state::kReady));
  RunFor(milliseconds(50));
  CHECK(views[0]->targets[target_id("t")].state ==
        targets::target_state::kLeaving);
  hosts[0]->SetTime(network.now);
  hosts[0]->Announce(MakeTarget(2, 1, targets::target_state::kReady));
  RunFor(milliseconds(50));
  CHECK(views[0]->targets[target_id("t")].life == incarnation(2));
}

TEST_CASE_METHOD(control_fixture,
                 "load: reported by two routers: each receives the other's") {
  const auto load = [](std::uint32_t in_flight, double asked) {
    return admission::fleet_load{
        .targets = {{.target = target_id("t"), .in_flight = in_flight}},
        .customers = {{.pool = pool_id("p"),
                       .customer = customer_id("c"),
                       .demand = asked}}};
  };
  routers[0]->ReportLoad(load(3, 100));
  RunFor(milliseconds(20));
  routers[1]->ReportLoad(load(5, 200));
  RunFor(milliseconds(20));
  RunFor(milliseconds(20));
  CHECK(views[1]->others == load(3, 100));
  CHECK(views[0]->others == load(5, 200));
  RunFor(seconds(2));
  routers[0]->ReportLoad(load(3, 100));
  RunFor(milliseconds(40));
  CHECK(views[0]->others.targets.empty());
}

TEST_CASE_METHOD(control_fixture,
                 "calls: reported by all routers: each receives the others'; "
                 "by some: none are told") {
  routers[0]->ReportLoad({.calls = 30});
  routers[1]->ReportLoad({.calls = 5});
  RunFor(milliseconds(40));
  routers[0]->ReportLoad({.calls = 30});
  RunFor(milliseconds(40));
  CHECK(views[0]->others.calls == 5.0);
  CHECK(views[1]->others.calls == 30.0);
  routers[1]->ReportLoad({});
  RunFor(milliseconds(40));
  CHECK_FALSE(views[1]->others.calls);
}

TEST_CASE_METHOD(control_fixture,
                 "routers: learn of each other; isolated: contact lost") {
  RunFor(seconds(1));
  CHECK(views[0]->routers.size() == 2);
  CHECK(views[0]->connected);
  Isolate(kHosts);
  RunFor(seconds(3));
  CHECK_FALSE(views[0]->connected);
}

TEST_CASE_METHOD(control_fixture,
                 "two routers heard different rate limits of a target: the "
                 "third is told the later one") {
  Leader();
  const target_id target("t");
  const auto report = [&](std::size_t router, double rate, std::uint64_t age) {
    routers[router]->ReportLoad(
        {.targets = {{.target = target,
                      .rate_limit = admission::named_rate{.per_second = rate,
                                                          .age_ms = age}}}});
  };
  report(0, 4, 900);
  report(1, 6, 10);
  RunFor(milliseconds(200));
  REQUIRE(views[0]->others.targets.size() == 1);
  CHECK(views[0]->others.targets[0].rate_limit->per_second == 6.0);
  CHECK(views[1]->others.targets[0].rate_limit->per_second == 4.0);
  CHECK(views[1]->others.targets[0].rate_limit->age_ms >= 900);
}

TEST_CASE_METHOD(control_fixture,
                 "many targets announce themselves at once: each router is "
                 "told of them in one message a host") {
  constexpr std::size_t kTargets = 262;
  const std::uint64_t before = views[0]->target_updates;
  hosts[0]->SetTime(network.now);
  for (std::size_t i = 0; i < kTargets; ++i) {
    targets::announcement announced =
        MakeTarget(1, 1, targets::target_state::kReady);
    announced.target = target_id("t" + std::to_string(i));
    hosts[0]->Announce(announced);
  }
  RunFor(milliseconds(200));
  CHECK(views[0]->targets.size() == kTargets);
  CHECK(views[0]->target_updates - before <= kHosts);
}

TEST_CASE_METHOD(control_fixture,
                 "routers in contact: the list of routers is sent on each link "
                 "once, and again when it changes") {
  RunFor(seconds(2));
  const std::uint64_t before = network.router_lists;
  RunFor(seconds(5));
  CHECK(network.router_lists == before);
  Isolate(kHosts + 1);
  RunFor(seconds(10));
  CHECK(views[0]->routers.size() == 1);
  CHECK(network.router_lists > before);
}

TEST_CASE_METHOD(control_fixture,
                 "configurations follow one another quickly: routers have the "
                 "last one, not each") {
  const std::size_t leader = Leader();
  const std::uint64_t before = network.configurations;
  for (std::uint64_t version = 1; version <= 20; ++version) {
    hosts[leader]->SetTime(network.now);
    hosts[leader]->ReplaceConfiguration(version, std::to_string(version),
                                        [](const command_outcome&) {});
    RunFor(milliseconds(4));
  }
  RunFor(milliseconds(200));
  for (const auto& view : views) {
    CHECK(view->state.version == 20);
  }
  CHECK(network.configurations - before <= 15 * kRouters);
}

TEST_CASE_METHOD(control_fixture,
                 "control hosts restart: no router is told a list that leaves "
                 "out a router in contact") {
  for (std::size_t host = 0; host < kHosts; ++host) {
    Isolate(host);
    RunFor(milliseconds(300));
    StartHost(host);
    network.disconnected.clear();
    for (std::size_t i = 0; i < kRouters; ++i) {
      views[i]->fewest_routers = kRouters;
    }
    RunFor(seconds(6));
    for (std::size_t i = 0; i < kRouters; ++i) {
      INFO("host " << host << ", router " << i);
      CHECK(views[i]->fewest_routers == kRouters);
      CHECK(views[i]->routers.size() == kRouters);
    }
  }
}

constexpr milliseconds kEvidenceTime{3000};

struct lost_evidence_fixture : control_fixture {
  // Cuts control hosts off for as long as daemons need to notice.
  void IsolateHosts() {
    for (std::size_t i = 0; i < kHosts; ++i) {
      Isolate(i);
    }
    RunFor(seconds(3));
  }
};

TEST_CASE_METHOD(control_fixture,
                 "one router notices the end of a target: every other router "
                 "is told, without the leader too") {
  const std::size_t leader = Leader();
  Isolate(leader);
  Notice(0, EndOf("t1"));
  RunFor(milliseconds(100));
  CHECK(views[1]->evidence.ends().size() == 1);
  Notice(1, EndOf("t2"));
  RunFor(milliseconds(100));
  CHECK(views[0]->evidence.ends().size() == 2);
}

TEST_CASE_METHOD(control_fixture,
                 "a router restarts empty: it is told of all targets that "
                 "ended") {
  Notice(0, EndOf("t1"));
  Notice(1, EndOf("t2"));
  RunFor(milliseconds(100));
  StartRouter(0);
  RunFor(kEvidenceTime);
  CHECK(views[0]->evidence.ends().size() == 2);
}

TEST_CASE_METHOD(control_fixture,
                 "a router notices the end of a target while cut off: the "
                 "others are told once it is back") {
  Isolate(kHosts);
  RunFor(milliseconds(500));
  Notice(0, EndOf("t1"));
  RunFor(seconds(2));
  CHECK(views[1]->evidence.ends().empty());
  network.disconnected.clear();
  RunFor(kEvidenceTime);
  CHECK(views[1]->evidence.ends().size() == 1);
}

TEST_CASE_METHOD(lost_evidence_fixture,
                 "all control hosts restart empty: routers tell each other "
                 "again what they know") {
  Notice(0, EndOf("t1"));
  RunFor(milliseconds(100));
  IsolateHosts();
  for (std::size_t i = 0; i < kHosts; ++i) {
    ports[i]->evidence = {};
    StartHost(i);
  }
  network.disconnected.clear();
  RunFor(seconds(6));
  StartRouter(1);
  RunFor(kEvidenceTime);
  CHECK(views[1]->evidence.ends().size() == 1);
}

// Guards against docs/incidents/028: all daemons at once lost what they knew,
// and a request that ends targets ended three more.
TEST_CASE_METHOD(lost_evidence_fixture,
                 "all daemons are killed: routers are told of all targets that "
                 "had ended") {
  Notice(0, EndOf("t1"));
  Notice(1, EndOf("t2"));
  RunFor(seconds(1));
  IsolateHosts();
  for (std::size_t i = 0; i < kHosts; ++i) {
    StartHost(i);
  }
  for (std::size_t i = 0; i < kRouters; ++i) {
    StartRouter(i);
  }
  network.disconnected.clear();
  RunFor(seconds(6));
  for (std::size_t i = 0; i < kRouters; ++i) {
    CHECK(views[i]->evidence.ends().size() == 2);
  }
}

TEST_CASE_METHOD(control_fixture,
                 "evidence: nothing new: it is not stored again") {
  Notice(0, EndOf("t1"));
  RunFor(seconds(1));
  CHECK(ports[0]->evidence.ends.size() == 1);
  const int before = ports[0]->evidence_stores;
  Notice(0, EndOf("t1"));
  RunFor(seconds(3));
  CHECK(ports[0]->evidence_stores == before);
}

TEST_CASE_METHOD(control_fixture,
                 "evidence: new all the time: stored twice a second, all") {
  const int before = ports[0]->evidence_stores;
  for (int i = 0; i < 200; ++i) {
    Notice(0, EndOf("t" + std::to_string(i)));
    RunFor(milliseconds(20));
  }
  RunFor(seconds(1));
  const int stores = ports[0]->evidence_stores - before;
  CHECK(stores >= 8);
  CHECK(stores <= 10);
  CHECK(ports[0]->evidence.ends.size() == 200);
}

TEST_CASE_METHOD(control_fixture,
                 "evidence: as much as is kept and new all the time: stored "
                 "less often") {
  crashes::evidence much;
  for (std::size_t i = 0; i < crashes::kMaxEnds; ++i) {
    crashes::evidence end = EndOf("t" + std::to_string(i));
    for (std::size_t id = 0; id < crashes::kMaxSuspects; ++id) {
      end.ends[0].parts.push_back(100 + id);
      end.ends[0].requests.emplace_back(100 + id);
    }
    much.Append(std::move(end));
  }
  Notice(0, much);
  RunFor(seconds(1));
  const int before = ports[0]->evidence_stores;
  for (int i = 0; i < 10; ++i) {
    Notice(0,
           {.served = {{.key = {.pool = pool_id("llm"),
                                .id = 1000ULL + static_cast<unsigned>(i)}}}});
    RunFor(milliseconds(200));
  }
  CHECK(ports[0]->evidence_stores - before <= 1);
}

}  // namespace
}  // namespace burdocklock::control
