// Encoding of messages that routers and control hosts exchange.
#include "control/message_codec.h"

#include <catch2/catch.hpp>

namespace burdocklock::control {
namespace {

TEST_CASE("evidence: encoded and decoded: the same") {
  const crashes::pool_part key{.pool = pool_id("llm"),
                               .part = 0x9e3779b97f4a7c15};
  const crashes::evidence sent{
      .ends = {{.target = target_id("t"),
                .life = incarnation(7),
                .pool = pool_id("llm"),
                .age_ms = 12,
                .suspects = {1, 0xffffffffffffffff}}},
      .served = {{.key = key, .age_ms = 300}},
      .blocked = {{.key = key, .age_ms = 60'000, .times_blocked = 2}}};
  const auto got = Decode(Encode(evidence_update{.contents = sent}));
  REQUIRE(got.has_value());
  CHECK(std::get<evidence_update>(got.value()).contents == sent);
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

TEST_CASE("evidence with a member missing: refused as malformed") {
  // ["e", [[], []]]
  const auto got = Decode("\x82\x61\x65\x82\x80\x80");
  REQUIRE_FALSE(got.has_value());
  CHECK(got.error().code == error_code::kMalformed);
}

}  // namespace
}  // namespace burdocklock::control
