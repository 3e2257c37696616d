// The fleet's memory of where streams began, over restarts and cuts of routers
// and control hosts.
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "control/tests/control_fixture.h"

namespace burdocklock::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using origin_list = std::vector<std::optional<streams::stream_origin>>;

struct stream_fixture : control_fixture {
  static streams::stream_record Stream(std::uint64_t key,
                                       const std::string& version = "v1") {
    return {.key = stream_key(key),
            .origin = {.pool = pool_id("llm"),
                       .version = software_version(version)},
            .remaining = seconds(30)};
  }
  void Begin(std::size_t router,
             std::uint64_t key,
             const std::string& version = "v1") {
    routers[router]->RecordStream(Stream(key, version), network.now);
  }
  void Ask(std::size_t router, std::uint64_t key) {
    routers[router]->AskStreamOrigin(stream_key(key), network.now);
  }
  origin_list Answers(std::size_t router, std::uint64_t key) {
    return views[router]->origins[stream_key(key)];
  }
  void Reconnect() {
    network.disconnected.clear();
    RunFor(seconds(4));
  }
};

TEST_CASE_METHOD(stream_fixture,
                 "a stream begins: another router knows it 30 ms later, within "
                 "10 ms of asking") {
  Begin(0, 1);
  RunFor(milliseconds(30));
  Ask(1, 1);
  RunFor(milliseconds(10));
  CHECK(Answers(1, 1) == origin_list{Stream(1).origin});
}

TEST_CASE_METHOD(stream_fixture,
                 "all routers restart at once: each knows where any stream "
                 "began; others are unknown") {
  Begin(0, 1, "v1");
  Begin(1, 2, "v2");
  RunFor(milliseconds(30));
  for (std::size_t router = 0; router < kRouters; ++router) {
    StartRouter(router);
  }
  for (std::size_t router = 0; router < kRouters; ++router) {
    Ask(router, 1);
    Ask(router, 2);
    Ask(router, 3);
  }
  RunFor(milliseconds(300));
  for (std::size_t router = 0; router < kRouters; ++router) {
    CHECK(Answers(router, 1) == origin_list{Stream(1, "v1").origin});
    CHECK(Answers(router, 2) == origin_list{Stream(2, "v2").origin});
    CHECK(Answers(router, 3) == origin_list{std::nullopt});
  }
  CHECK(hosts[0]->stream_questions().asked >= 6);
  CHECK(hosts[0]->stream_questions().answered_unknown >= 2);
}

TEST_CASE_METHOD(stream_fixture,
                 "a stream's time is over: unknown, and control hosts keep "
                 "nothing") {
  Begin(0, 1);
  RunFor(seconds(31));
  Ask(0, 1);
  Ask(1, 1);
  RunFor(milliseconds(300));
  CHECK(Answers(0, 1) == origin_list{std::nullopt});
  CHECK(Answers(1, 1) == origin_list{std::nullopt});
  for (const auto& host : hosts) {
    CHECK(host->streams().size() == 0);
  }
}

TEST_CASE_METHOD(stream_fixture,
                 "all control hosts restart: told again by routers") {
  Begin(0, 1);
  RunFor(milliseconds(30));
  for (std::size_t host = 0; host < kHosts; ++host) {
    Isolate(host);
  }
  RunFor(seconds(2));
  for (std::size_t host = 0; host < kHosts; ++host) {
    StartHost(host);
    CHECK(hosts[host]->streams().size() == 0);
  }
  Reconnect();
  for (const auto& host : hosts) {
    CHECK(host->streams().size() == 1);
  }
  StartRouter(0);
  Ask(1, 1);
  RunFor(milliseconds(300));
  CHECK(Answers(1, 1) == origin_list{Stream(1).origin});
}

TEST_CASE_METHOD(stream_fixture,
                 "one control host restarts empty: its no does not count "
                 "against the others") {
  Begin(0, 1);
  RunFor(milliseconds(30));
  Isolate(kHosts);
  StartHost(0);
  RunFor(milliseconds(50));
  StartRouter(1);
  Ask(1, 1);
  RunFor(milliseconds(300));
  CHECK(hosts[0]->streams().size() == 0);
  CHECK(Answers(1, 1) == origin_list{Stream(1).origin});
}

TEST_CASE_METHOD(stream_fixture,
                 "two control hosts are cut off, then the router ends: the "
                 "third knows") {
  Isolate(0);
  Isolate(1);
  RunFor(milliseconds(100));
  Begin(0, 1);
  RunFor(milliseconds(30));
  StartRouter(0);
  Ask(0, 1);
  RunFor(milliseconds(300));
  CHECK(Answers(0, 1) == origin_list{Stream(1).origin});
}

TEST_CASE_METHOD(stream_fixture,
                 "all control hosts are silent: unknown after the limit, once; "
                 "known when they are back") {
  Begin(0, 1);
  RunFor(milliseconds(30));
  for (std::size_t host = 0; host < kHosts; ++host) {
    Isolate(host);
  }
  Ask(1, 1);
  RunFor(milliseconds(240));
  CHECK(Answers(1, 1).empty());
  RunFor(milliseconds(20));
  CHECK(Answers(1, 1) == origin_list{std::nullopt});
  Reconnect();
  Ask(1, 1);
  RunFor(milliseconds(300));
  CHECK(Answers(1, 1) == origin_list{std::nullopt, Stream(1).origin});
}

TEST_CASE_METHOD(stream_fixture,
                 "a stream begins while its router is cut off: known once the "
                 "router is back") {
  Isolate(kHosts);
  Begin(0, 1);
  RunFor(seconds(2));
  Ask(1, 1);
  RunFor(milliseconds(300));
  CHECK(Answers(1, 1) == origin_list{std::nullopt});
  Reconnect();
  Ask(1, 1);
  RunFor(milliseconds(300));
  CHECK(Answers(1, 1) == origin_list{std::nullopt, Stream(1).origin});
}

TEST_CASE_METHOD(stream_fixture,
                 "links drop while a question is open: answered once") {
  Begin(0, 1);
  RunFor(milliseconds(30));
  Ask(1, 1);
  RunFor(milliseconds(4));
  for (const auto& [link, ends] : network.connections) {
    if (ends.from == kHosts + 1) {
      routers[1]->OnLinkDown(link_id(link), network.now);
    }
  }
  network.packets.clear();
  RunFor(seconds(1));
  CHECK(Answers(1, 1) == origin_list{std::nullopt});
}

TEST_CASE_METHOD(stream_fixture,
                 "two routers tell different versions of a stream: reported, "
                 "and unknown from then on") {
  Begin(0, 1, "v1");
  RunFor(milliseconds(30));
  Begin(1, 1, "v2");
  RunFor(milliseconds(30));
  for (const auto& port : ports) {
    CHECK(port->contradictions == 1);
  }
  StartRouter(0);
  RunFor(milliseconds(100));
  Ask(0, 1);
  RunFor(milliseconds(300));
  CHECK(Answers(0, 1) == origin_list{std::nullopt});
}

TEST_CASE_METHOD(stream_fixture,
                 "control host: more streams than it has room for: bounded, "
                 "counted, reported") {
  control_host_capacity = 10;
  StartHost(0);
  RunFor(seconds(3));
  for (std::uint64_t key = 0; key < 50; ++key) {
    Begin(0, key);
  }
  RunFor(seconds(2));
  CHECK(hosts[0]->streams().size() == 10);
  CHECK(hosts[0]->streams().dropped() == 40);
  CHECK(ports[0]->dropped == 40);
  CHECK(hosts[1]->streams().size() == 50);
}

TEST_CASE_METHOD(stream_fixture,
                 "messages of a later kind, and those of the other side: "
                 "ignored") {
  const link_id link(1);
  for (const message& odd :
       {message(unrecognised_message{.kind = "zz"}),
        message(
            stream_answer{.known = {Stream(9)}, .unknown = {stream_key(8)}}),
        message(stream_update{}), message(stream_query{})}) {
    hosts[0]->OnMessage(link, odd, network.now);
    routers[0]->OnMessage(link, odd, network.now);
  }
  RunFor(milliseconds(300));
  CHECK(views[0]->origins.empty());
  CHECK(hosts[0]->streams().size() == 0);
  CHECK(ports[0]->problems == 0);
}

}  // namespace
}  // namespace burdocklock::control
