// Which link a control host takes for what it tells another one.
#include <chrono>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "control/tests/control_fixture.h"

namespace burdocklock::control {
namespace {

using std::chrono::seconds;

// One host, and another whose links to it the test makes up.
struct reply_fixture {
  struct sent_link : i_link_port {
    link_id Open(const endpoint&) override { return link_id(++last); }
    void Reopen(link_id) override {}
    void Close(link_id) override {}
    void Send(link_id link, const message& message) override {
      if (std::holds_alternative<quorum_envelope>(message)) {
        quorum.push_back(link);
      }
    }
    void SendToAll(const std::vector<link_id>& links,
                   const message& message) override {
      for (const link_id link : links) {
        Send(link, message);
      }
    }
    [[nodiscard]] bool HasRoom(link_id) const override { return true; }

    std::uint64_t last = 0;
    /// Where messages to other members went.
    std::vector<link_id> quorum;
  };

  static quorum::member Peer() {
    return {.id = quorum::member_id("peer"),
            .peer_endpoint = LinkEndpoint(1),
            .command_endpoint = CommandEndpoint(1),
            .voter = true};
  }
  static quorum::durable_state Disk(bool knows_peer) {
    quorum::durable_state disk{.self = quorum::member_id("self")};
    if (knows_peer) {
      disk.base = {.last_index = quorum::log_index(1),
                   .last_term = quorum::term_number(1),
                   .members = {Peer()}};
    }
    return disk;
  }
  void Introduce(link_id link) {
    node->OnMessage(
        link, introduction{.daemon = daemon_id("peer"), .member = Peer()}, now);
  }
  // The link that the answer to a leader took.
  std::vector<link_id> AnswerTo(link_id link) {
    port.quorum.clear();
    node->OnMessage(
        link,
        quorum_envelope{.from = Peer().id,
                        .to = quorum::member_id("self"),
                        .contents =
                            quorum::append_request{
                                .term = quorum::term_number(2),
                                .previous_index = quorum::log_index(9),
                                .previous_term = quorum::term_number(2)}},
        now);
    return port.quorum;
  }
  void Start(bool knows_peer) {
    node = std::make_unique<control_node>(
        control_options{.daemon = daemon_id("self"),
                        .raft = {.peer_endpoint = LinkEndpoint(0),
                                 .command_endpoint = CommandEndpoint(0)}},
        Disk(knows_peer), random, port, control, now);
  }

  seeded_random random{3};
  sent_link port;
  fake_control_port control;
  time_point now{seconds(100)};
  std::unique_ptr<control_node> node;
};

TEST_CASE_METHOD(reply_fixture,
                 "answer to a member that is not known: an older link of it "
                 "is dead: the newer one is taken") {
  const link_id dead(50);
  const link_id alive(51);
  Start(false);
  Introduce(dead);
  now += seconds(2);
  Introduce(alive);
  CHECK(AnswerTo(alive) == std::vector<link_id>{alive});
}

TEST_CASE_METHOD(reply_fixture,
                 "answer to a known member: the link to it is down: the one "
                 "that it has opened is taken") {
  const link_id theirs(51);
  Start(true);
  Introduce(theirs);
  CHECK(AnswerTo(theirs) == std::vector<link_id>{theirs});
  const link_id own(1);
  node->OnLinkUp(own, now);
  CHECK(AnswerTo(theirs) == std::vector<link_id>{own});
}

}  // namespace
}  // namespace burdocklock::control
