// Messages with odd entries among good ones: numbers out of range, fractions
// where whole numbers are due, deep nesting.
#include <limits>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "control/message_codec.h"
#include "control/operator_state.h"

namespace burdocklock::control {
namespace {

using nlohmann::json;

// Far beyond what a fiber's stack holds if it is walked recursively.
constexpr std::size_t kDeep = 1'000'000;
constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();

std::string ToCbor(const json& message) {
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

aged_announcement Entry(const std::string& name) {
  return {.announced = {.target = target_id(name),
                        .life = incarnation(5),
                        .data_centre = data_centre_id("z"),
                        .kind = targets::target_kind::kService,
                        .address = {.address = "127.0.0.1", .port = 80},
                        .pools = {pool_id("desk")},
                        .state = targets::target_state::kReady,
                        .slots = 6,
                        .cold_slots = 1,
                        .sequence = 3},
          .age_ms = 10};
}

json Update() {
  return json::from_cbor(Encode(target_update{{Entry("a"), Entry("b")}}));
}

std::vector<std::string> NamesOf(const json& message) {
  const auto decoded = Decode(ToCbor(message));
  if (!decoded) {
    return {"rejected"};
  }
  std::vector<std::string> names;
  for (const auto& entry : std::get<target_update>(decoded.value()).targets) {
    names.push_back(entry.announced.target.value());
  }
  return names;
}

const std::vector<std::string> kBoth = {"a", "b"};
const std::vector<std::string> kSecond = {"b"};

TEST_CASE("list of targets with an odd entry: the others are read") {
  REQUIRE(NamesOf(Update()) == kBoth);
  // Position of the field in an entry, and odd values for it.
  const std::vector<std::pair<std::string, std::vector<json>>> odd = {
      {"/0/0", {7, json::array()}},
      {"/0/1", {-1, 1.5, "x"}},
      {"/0/3", {-1, 2, 0.5, kLargest, 4294967296}},
      {"/0/4", {"127.0.0.1:70000", "127.0.0.1:-1", "127.0.0.1:0", 5}},
      {"/0/5", {json::array(), 5}},
      {"/0/6", {-1, 3, 0.5, 4294967296}},
      {"/0/7", {0, -1, 6.5, 4294967302, kLargest, 4000000000}},
      {"/0/8", {0, -1, 0.5, 4294967297}},
      {"/0/9", {-1, 2, 4294967296}},
      {"/0/10", {5, json::array({-1, 0, 0, 0}), json::array({1})}},
      {"/0/11", {-1, 1.5, "x"}},
      {"/0/12", {-1, 1.5, kLargest, 9223372036854775807, "x"}},
      {"/1", {-1, 0.5, kLargest, 9223372036854775807, "x"}}};
  for (const auto& [field, values] : odd) {
    for (const json& value : values) {
      CAPTURE(field, value);
      json message = Update();
      message[json::json_pointer("/1/0" + field)] = value;
      CHECK(NamesOf(message) == kSecond);
    }
  }
  for (const json& entry : {json(5), json::object(), json::array(), json()}) {
    CAPTURE(entry);
    json message = Update();
    message[1][0] = entry;
    CHECK(NamesOf(message) == kSecond);
  }
}

TEST_CASE("list of targets with an entry that nests: the others are read") {
  json nested;
  for (int depth = 0; depth < 10; ++depth) {
    nested = json::array({nested});
  }
  json message = Update();
  message[1][0] = nested;
  CHECK(NamesOf(message) == kSecond);
}

TEST_CASE("message that nests deeply: rejected") {
  CHECK_FALSE(Decode(std::string(kDeep, '\x81')).has_value());
  CHECK_FALSE(Decode(std::string(kDeep, '\x9f')).has_value());
  CHECK_FALSE(
      Decode("\x82\x61t" + std::string(kDeep, '\x81') + "\x01").has_value());
  std::string maps;
  for (std::size_t i = 0; i < kDeep; ++i) {
    maps += "\xa1\x61x";
  }
  CHECK_FALSE(Decode(maps).has_value());
  operator_state state;
  CHECK_FALSE(state.Restore(std::string(kDeep, '\x81')).has_value());
}

TEST_CASE("load report with odd entries: the others are read") {
  const load_report sent{
      .daemon = daemon_id("r"),
      .load = {.targets = {{.target = target_id("a"), .in_flight = 3},
                           {.target = target_id("b"), .in_flight = 4}},
               .customers = {{.pool = pool_id("p"),
                              .customer = customer_id("c"),
                              .demand = 5,
                              .started = 4},
                             {.pool = pool_id("p"),
                              .customer = customer_id("d"),
                              .demand = 6,
                              .started = 5}}}};
  const json whole = json::from_cbor(Encode(sent));
  for (const json& odd : {json(-1), json(1.5), json(4294967299), json("x")}) {
    CAPTURE(odd);
    json message = whole;
    message[json::json_pointer("/2/0/0/1")] = odd;
    const auto decoded = Decode(ToCbor(message));
    REQUIRE(decoded.has_value());
    const auto& load = std::get<load_report>(decoded.value()).load;
    REQUIRE(load.targets.size() == 1);
    CHECK(load.targets[0] == sent.load.targets[1]);
    CHECK(load.customers == sent.load.customers);
  }
  for (const json& odd : {json(kLargest), json(1e300), json("x"), json()}) {
    CAPTURE(odd);
    json message = whole;
    message[json::json_pointer("/2/1/0/2")] = odd;
    const auto decoded = Decode(ToCbor(message));
    REQUIRE(decoded.has_value());
    const auto& load = std::get<load_report>(decoded.value()).load;
    CHECK(load.targets == sent.load.targets);
    REQUIRE(load.customers.size() == 1);
    CHECK(load.customers[0] == sent.load.customers[1]);
  }
}

TEST_CASE("evidence with odd entries: the others are read") {
  const crashes::evidence sent{
      .ends = {{.target = target_id("t"), .pool = pool_id("p"), .parts = {1}},
               {.target = target_id("u"), .pool = pool_id("p"), .parts = {2}}},
      .served = {{.key = {.pool = pool_id("p"), .id = 1}},
                 {.key = {.pool = pool_id("p"), .id = 2}}},
      .blocked = {{.key = {.pool = pool_id("p"), .id = 1}},
                  {.key = {.pool = pool_id("p"), .id = 2}}}};
  json message = json::from_cbor(Encode(evidence_update{.contents = sent}));
  message[json::json_pointer("/1/0/0/4/0")] = 1.5;
  message[json::json_pointer("/1/1/0/2")] = -1;
  message[json::json_pointer("/1/2/0/3")] = 4294967296;
  const auto decoded = Decode(ToCbor(message));
  REQUIRE(decoded.has_value());
  const auto& got = std::get<evidence_update>(decoded.value()).contents;
  CHECK(got == crashes::evidence{.ends = {sent.ends[1]},
                                 .served = {sent.served[1]},
                                 .blocked = {sent.blocked[1]}});
}

}  // namespace
}  // namespace burdocklock::control
