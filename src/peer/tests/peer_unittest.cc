// Encoding and decoding of messages between daemons.
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "peer/message_codec.h"

namespace burdocklock::peer {
namespace {

membership::member Member() {
  return {.daemon = daemon_id("shah-alam-1"),
          .life = incarnation(7),
          .data_centre = data_centre_id("shah-alam"),
          .region = region_id("klang-valley"),
          .has_control_role = true};
}

targets::announcement Target() {
  return {.target = target_id("t"),
          .life = incarnation(3),
          .data_centre = data_centre_id("cheras"),
          .address = {.port = 9},
          .pools = {pool_id("lamp-llm")},
          .state = targets::target_state::kReady,
          .slots = 8,
          .cold_slots = 2,
          .load = targets::load_report{.running = 3, .at_ms = 5}};
}

TEST_CASE("codec: report: survives a round trip") {
  const allocation::router_report report{
      .sender = Member(),
      .sequence = 4,
      .applied_grant = 3,
      .applied_from = incarnation(9),
      .demand = {{.pool = pool_id("lamp-llm"),
                  .customers = {{.customer = customer_id("depot"),
                                 .share = 2,
                                 .waiting = 5,
                                 .running = 1,
                                 .service = 77.5}}}},
      .holdings = {{.target = target_id("t"), .limit = 2, .in_use = 1}},
      .evidence = {{.target = target_id("t"), .successes = 6, .failures = 1}},
      .announcements = {Target()}};
  const auto decoded = Decode(Encode(report));
  REQUIRE(decoded.has_value());
  const auto& copy = std::get<allocation::router_report>(decoded.value());
  CHECK(copy.sender == report.sender);
  CHECK(copy.demand[0].customers[0].service == 77.5);
  CHECK(copy.holdings[0].in_use == 1);
  CHECK(copy.evidence[0].successes == 6);
  CHECK(copy.announcements[0].load->at_ms == 5);
  CHECK(copy.announcements[0].address == Target().address);
}

TEST_CASE("codec: grant and heartbeat: survive a round trip") {
  const allocation::grant_table grant{
      .sender = Member(),
      .version = 2,
      .answers = 4,
      .served = {data_centre_id("cheras")},
      .leases = {{.target = Target(), .limit = 3, .ramp_limit = 4}},
      .pool_statuses = {{.pool = pool_id("lamp-llm"),
                         .capacity = 8,
                         .scarce = true,
                         .customers = {{.customer = customer_id("depot"),
                                        .virtual_service = 1.5}}}},
      .orders = {{.data_centre = data_centre_id("cheras"),
                  .out = true,
                  .version = 2,
                  .accepted_by = daemon_id("x")}}};
  const auto decoded = Decode(Encode(grant));
  REQUIRE(decoded.has_value());
  const auto& copy = std::get<allocation::grant_table>(decoded.value());
  CHECK(copy.leases[0].limit == 3);
  CHECK(copy.pool_statuses[0].scarce);
  CHECK(copy.orders == grant.orders);
  const auto greeting = Decode(Encode(fleet::heartbeat{.sender = Member()}));
  REQUIRE(greeting.has_value());
  CHECK(std::get<fleet::heartbeat>(greeting.value()).sender == Member());
}

TEST_CASE("codec: arbitrary bytes: rejected without a crash") {
  rc::prop("no crash", [](const std::string& bytes) {
    RC_ASSERT(!Decode(bytes).has_value());
  });
}

TEST_CASE("codec: a message with bytes changed: decoded or an error") {
  rc::prop("no crash", [] {
    std::string bytes = Encode(allocation::grant_table{
        .sender = Member(), .leases = {{.target = Target()}}});
    for (const auto& [at, value] :
         *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
             rc::gen::pair(rc::gen::inRange<std::size_t>(0, bytes.size()),
                           rc::gen::arbitrary<char>()))) {
      bytes[at] = value;
    }
    static_cast<void>(Decode(bytes));
  });
}

TEST_CASE("codec: map of excessive size: rejected") {
  CHECK_FALSE(Decode("\xBB"
                     "aaaaaaaa")
                  .has_value());
  CHECK_FALSE(Decode("\x9B"
                     "aaaaaaaa")
                  .has_value());
}

}  // namespace
}  // namespace burdocklock::peer
