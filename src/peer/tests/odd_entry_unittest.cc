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

TEST_CASE(
    "codec: fraction or number out of range where an integer is due: "
    "rejected") {
  for (const char* path :
       {"/v", "/k", "/b/n", "/b/g", "/b/c", "/b/f/1", "/b/d/0/1/0/2",
        "/b/d/0/1/0/3", "/b/h/0/2", "/b/h/0/3", "/b/e/0/2", "/b/e/0/3"}) {
    for (const json& odd : {json(1.5), json(-1), json(1e300),
                            json(std::numeric_limits<double>::quiet_NaN())}) {
      CAPTURE(path, odd);
      json message = Report();
      REQUIRE(message.contains(json::json_pointer(path)));
      message[json::json_pointer(path)] = odd;
      CHECK_FALSE(DecodeJson(message).has_value());
    }
  }
}

TEST_CASE("codec: a report with an odd announcement: the others are read") {
  for (const json& odd : {json(0), json(6.5), json(4294967302)}) {
    CAPTURE(odd);
    json message = Report();
    message[json::json_pointer("/b/a/0/7")] = odd;
    const auto decoded = DecodeJson(message);
    REQUIRE(decoded.has_value());
    const auto& report = std::get<allocation::router_report>(decoded.value());
    REQUIRE(report.announcements.size() == 1);
    CHECK(report.announcements[0].target == target_id("b"));
  }
}

TEST_CASE("codec: deep nesting: rejected") {
  constexpr std::size_t kDeep = 1'000'000;
  CHECK_FALSE(Decode(std::string(kDeep, '\x81')).has_value());
  CHECK_FALSE(Decode(std::string(kDeep, '\x9f')).has_value());
}

}  // namespace
}  // namespace burdocklock::peer
