// Messages between daemons with odd values: numbers out of range, fractions
// where whole numbers are due, deep nesting.
#include <cstdint>
#include <limits>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "peer/message_codec.h"

namespace burdocklock::peer {
namespace {

using nlohmann::json;

targets::announcement Target(const std::string& name) {
  return {.target = target_id(name),
          .data_centre = data_centre_id("z"),
          .address = {.address = "127.0.0.1", .port = 9},
          .pools = {pool_id("p")},
          .state = targets::target_state::kReady,
          .slots = 8,
          .cold_slots = 2};
}

json Report() {
  return json::from_cbor(Encode(allocation::router_report{
      .sender = {.daemon = daemon_id("d"), .life = incarnation(1)},
      .sequence = 4,
      .applied_grant = 3,
      .demand = {{.pool = pool_id("p"),
                  .customers = {{.customer = customer_id("c"),
                                 .waiting = 5,
                                 .running = 1,
                                 .service = 1e15}}}},
      .holdings = {{.target = target_id("t"), .limit = 2}},
      .evidence = {{.target = target_id("t"), .successes = 6}},
      .announcements = {Target("a"), Target("b")}}));
}

result<fleet::message> DecodeJson(const json& message) {
  std::string bytes;
  json::to_cbor(message, bytes);
  return Decode(bytes);
}

TEST_CASE("codec: large fractions: accepted") {
  const auto decoded = DecodeJson(Report());
  REQUIRE(decoded.has_value());
  const auto& report = std::get<allocation::router_report>(decoded.value());
  CHECK(report.demand[0].customers[0].service == 1e15);
}

TEST_CASE("codec: deep nesting: rejected") {
  constexpr std::size_t kDeep = 1'000'000;
  CHECK_FALSE(Decode(std::string(kDeep, '\x81')).has_value());
  CHECK_FALSE(Decode(std::string(kDeep, '\x9f')).has_value());
}

}  // namespace
}  // namespace burdocklock::peer
