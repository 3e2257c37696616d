// Encoding of messages that routers and control hosts exchange.
#include "control/message_codec.h"

#include <catch2/catch.hpp>

namespace burdocklock::control {
namespace {

TEST_CASE("evidence: encoded and decoded: the same") {
  const crashes::pool_suspect key{.pool = pool_id("llm"),
                                  .id = 0x9e3779b97f4a7c15};
  const crashes::evidence sent{
      .ends = {{.target = target_id("t"),
                .life = incarnation(7),
                .pool = pool_id("llm"),
                .age_ms = 12,
                .parts = {1, 0xffffffffffffffff},
                .requests = {request_fingerprint(5)}}},
      .served = {{.key = key, .age_ms = 300}},
      .blocked = {{.key = key, .age_ms = 60'000, .times_blocked = 2}}};
  const auto got = Decode(Encode(evidence_update{.contents = sent}));
  REQUIRE(got.has_value());
  CHECK(std::get<evidence_update>(got.value()).contents == sent);
}

TEST_CASE("evidence about requests: encoded and decoded: the same") {
  const crashes::pool_suspect part{.pool = pool_id("llm"), .id = 7};
  const crashes::pool_suspect request{
      .pool = pool_id("llm"), .id = 7, .kind = crashes::suspect_kind::kRequest};
  const crashes::evidence sent{
      .served = {{.key = part, .age_ms = 1}, {.key = request, .age_ms = 2}},
      .blocked = {{.key = part}, {.key = request, .times_blocked = 3}}};
  const auto got = Decode(Encode(evidence_update{.contents = sent}));
  REQUIRE(got.has_value());
  CHECK(std::get<evidence_update>(got.value()).contents == sent);
}

TEST_CASE("evidence of a daemon that knows parts alone: accepted") {
  // ["e", [[["t", 1, "p", 5, [9]]], [["p", 9, 3]], []]]
  const auto got = Decode(
      std::string("\x82\x61\x65\x83\x81\x85\x61\x74\x01\x61\x70\x05\x81\x09"
                  "\x81\x83\x61\x70\x09\x03\x80"));
  REQUIRE(got.has_value());
  const auto& contents = std::get<evidence_update>(got.value()).contents;
  REQUIRE(contents.ends.size() == 1);
  CHECK(contents.ends[0].parts == std::vector<std::uint64_t>{9});
  CHECK(contents.ends[0].requests.empty());
  REQUIRE(contents.served.size() == 1);
  CHECK(contents.served[0].key.kind == crashes::suspect_kind::kPart);
}

TEST_CASE("evidence with members of a later kind: they are ignored") {
  // ["e", [[], [], [], [], [], 1]]
  const auto got = Decode("\x82\x61\x65\x86\x80\x80\x80\x80\x80\x01");
  REQUIRE(got.has_value());
  CHECK(std::get<evidence_update>(got.value()).contents.empty());
}

TEST_CASE("load of targets with and without a rate limit: the same") {
  const admission::fleet_load sent{
      .targets = {
          {.target = target_id("a"), .in_flight = 3, .unread_tokens = 100},
          {.target = target_id("b"),
           .in_flight = 1,
           .rate_limit =
               admission::named_rate{.per_second = 5.875, .age_ms = 40}},
          {.target = target_id("c"),
           .rate_limit = admission::named_rate{.age_ms = 70}}}};
  const auto got = Decode(Encode(load_summary{.others = sent}));
  REQUIRE(got.has_value());
  CHECK(std::get<load_summary>(got.value()).others == sent);
}

TEST_CASE("load of customers with and without waiting requests: the same") {
  const admission::fleet_load sent{
      .customers = {
          {.pool = pool_id("llm"),
           .customer = customer_id("a"),
           .demand = 500,
           .started = 400,
           .waiting = 12'000},
          {.pool = pool_id("llm"), .customer = customer_id("b"), .demand = 5}}};
  const auto got = Decode(Encode(load_summary{.others = sent}));
  REQUIRE(got.has_value());
  CHECK(std::get<load_summary>(got.value()).others == sent);
}

TEST_CASE("load of a customer with waiting tokens below zero: none wait") {
  // ["v", [[], [["p", "c", 1, 1, -10]]]]
  const auto got = Decode(
      std::string("\x82\x61\x76\x82\x80\x81\x85\x61\x70\x61\x63\x01\x01\x29"));
  REQUIRE(got.has_value());
  const auto& customers = std::get<load_summary>(got.value()).others.customers;
  REQUIRE(customers.size() == 1);
  CHECK(customers[0].waiting == 0);
}

TEST_CASE("evidence with a member missing: refused as malformed") {
  // ["e", [[], []]]
  const auto got = Decode("\x82\x61\x65\x82\x80\x80");
  REQUIRE_FALSE(got.has_value());
  CHECK(got.error().code == error_code::kMalformed);
}

}  // namespace
}  // namespace burdocklock::control
