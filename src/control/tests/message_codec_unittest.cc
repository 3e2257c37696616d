// Encoding of messages that routers and control hosts exchange.
#include "control/message_codec.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "rollouts/version_outcomes.h"
#include "streams/types/stream_limits.h"

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

TEST_CASE("vote request of older software: it asks, and does not stand") {
  const quorum_envelope sent{
      .from = quorum::member_id("a"),
      .to = quorum::member_id("b"),
      .contents = quorum::vote_request{.term = quorum::term_number(3),
                                       .last_index = quorum::log_index(7),
                                       .last_term = quorum::term_number(2),
                                       .pre_vote = true,
                                       .standing = quorum::candidacy::kStands}};
  nlohmann::json message = nlohmann::json::from_cbor(Encode(sent));
  nlohmann::json& request = message.back();
  REQUIRE(request.size() == 6);
  request.erase(5);
  std::string bytes;
  nlohmann::json::to_cbor(message, bytes);
  const auto got = Decode(bytes);
  REQUIRE(got.has_value());
  const auto& contents = std::get<quorum_envelope>(got.value()).contents;
  const auto& decoded = std::get<quorum::vote_request>(contents);
  CHECK(decoded.standing == quorum::candidacy::kAsks);
  CHECK(decoded.pre_vote);
  CHECK(decoded.term == quorum::term_number(3));
  CHECK(decoded.last_index == quorum::log_index(7));
  CHECK(decoded.last_term == quorum::term_number(2));
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

TEST_CASE(
    "learned speeds with and without a limit: the same; none: as before") {
  const admission::fleet_load sent{
      .learned = {
          {.target = target_id("a"),
           .life = incarnation(7),
           .base_ms = 20.125,
           .samples = 12,
           .limit = 3},
          {.target = target_id("b"), .life = incarnation(1), .base_ms = 0.5}}};
  const auto got = Decode(Encode(load_summary{.others = sent}));
  REQUIRE(got.has_value());
  CHECK(std::get<load_summary>(got.value()).others == sent);
  // ["v", [[], []]]
  CHECK(Encode(load_summary{}) == "\x82\x61\x76\x82\x80\x80");
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

TEST_CASE("load of pools, known and not: the same") {
  for (const auto& pools :
       {std::optional<std::vector<admission::pool_demand>>(),
        std::optional(std::vector<admission::pool_demand>()),
        std::optional(std::vector<admission::pool_demand>{
            {.pool = pool_id("orders"),
          .per_second = 340.5,
          .before = 20.1,
          .answered = 300,
          .rejected = 0.2},
            {.pool = pool_id("reads"), .per_second = 2}})}) {
    const admission::fleet_load sent{.pools = pools};
    const auto got = Decode(Encode(load_summary{.others = sent}));
    REQUIRE(got.has_value());
    CHECK(std::get<load_summary>(got.value()).others == sent);
  }
}

TEST_CASE("load of calls, beside others and alone: the same") {
  const admission::fleet_load sent{.calls = 812.5};
  const auto summary = Decode(Encode(load_summary{.others = sent}));
  REQUIRE(summary.has_value());
  CHECK(std::get<load_summary>(summary.value()).others == sent);
  const auto report =
      Decode(Encode(load_report{.daemon = daemon_id("r"), .load = sent}));
  REQUIRE(report.has_value());
  CHECK(std::get<load_report>(report.value()).load == sent);
}

// The message itself, its type and the list of a pool are beside the pool's own
// bytes.
TEST_CASE("load of pools: few bytes for each") {
  const auto size = [](std::size_t pools) {
    admission::fleet_load load{.pools = std::vector<admission::pool_demand>(
                                   pools, {.pool = pool_id("orders-and-reads"),
                                           .per_second = 3000,
                                           .before = 2000,
                                           .answered = 3000,
                                           .rejected = 30})};
    return Encode(load_summary{.others = load}).size();
  };
  constexpr std::size_t kNameAndFigures = 16 + 14;
  CHECK(size(3) - size(2) <= kNameAndFigures + 2);
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

TEST_CASE("rollouts: encoded and decoded: the same") {
  const rollouts::usual_times usual{
      .first_output = {.mean = 4.25, .samples = 12},
      .whole = {.mean = -0.5, .samples = 3}};
  const rollouts::rollout_outcomes outcomes{
      .pool = pool_id("llm"),
      .version = software_version("v2"),
      .begun_old = 70'000,
      .begun_new = 700,
      .routes = {{.route = rollouts::route_key(0xffffffff),
                  .old_version = {.answers = 9, .failures = 1},
                  .new_version = {.answers = 3, .timed = 2, .slow = 1},
                  .usual = usual}},
      .targets = {{.route = rollouts::route_key(0xffffffff),
                   .target = rollouts::target_key(0xfffffffe),
                   .counts = {.answers = 3, .timed = 2, .slow = 1}}}};
  const auto report = Decode(Encode(load_report{
      .daemon = daemon_id("r"), .load = {}, .outcomes = {outcomes}}));
  REQUIRE(report.has_value());
  CHECK(std::get<load_report>(report.value()).outcomes ==
        std::vector{outcomes});
  const rollouts::rollout_part part{
      .pool = pool_id("llm"),
      .version = software_version("v2"),
      .part = 0.025,
      .routes = {
          {.route = rollouts::route_key(7), .usual = usual, .weight = 1.75}}};
  const auto update = Decode(Encode(rollout_update{.parts = {part}}));
  REQUIRE(update.has_value());
  CHECK(std::get<rollout_update>(update.value()).parts == std::vector{part});
}

// A router has 6,000 B/s for all control traffic. It hears four updates a
// second and sends five reports, or one and a quarter of 25 routes.
TEST_CASE("rollout of a pool with the most routes: bytes bounded") {
  const auto bytes = [](std::uint32_t routes) {
    const rollouts::usual_times usual{
        .first_output = {.mean = 5.123, .samples = 2000},
        .whole = {.mean = 7.456, .samples = 2000}};
    const rollouts::outcome_counts counts{
        .answers = 90'000, .failures = 900, .timed = 80'000, .slow = 5'000};
    rollouts::rollout_outcomes outcomes{.pool = pool_id("lamp-llm"),
                                        .version = software_version("v2"),
                                        .begun_old = 900'000,
                                        .begun_new = 90'000};
    rollouts::rollout_part part{.pool = pool_id("lamp-llm"),
                                .version = software_version("v2"),
                                .part = 0.025};
    for (std::uint32_t i = 0; i < routes; ++i) {
      const rollouts::route_key key(0xfffffff0 - i);
      outcomes.routes.push_back({.route = key,
                                 .old_version = counts,
                                 .new_version = counts,
                                 .usual = usual});
      part.routes.push_back({.route = key, .usual = usual, .weight = 1.5});
    }
    for (std::size_t i = 0; i < rollouts::version_outcomes::kTargetsPerReport;
         ++i) {
      outcomes.targets.push_back({.route = outcomes.routes.back().route,
                                  .target = rollouts::target_key(0xfffffff0),
                                  .counts = {.answers = 4'000,
                                             .failures = 400,
                                             .timed = 4'000,
                                             .slow = 400}});
    }
    const std::size_t without = Encode(load_report{}).size();
    const std::size_t report =
        Encode(load_report{.outcomes = {outcomes}}).size() - without;
    const std::size_t update = Encode(rollout_update{.parts = {part}}).size();
    return std::pair(report, update);
  };
  const auto few = bytes(3);
  const auto most = bytes(25);
  WARN("report and update, 3 routes: " << few.first << " and " << few.second
                                       << " B; 25 routes: " << most.first
                                       << " and " << most.second << " B");
  CHECK(5 * few.first + 4 * few.second <= 1'500);
  CHECK(5 * most.first / 4 + 4 * most.second <= 4'500);
}

TEST_CASE("state with a rollout: the same; without: as earlier software") {
  state_update sent{.revision = state_revision(9)};
  sent.contents = state_contents{.version = 3, .document = "{}"};
  const auto plain = nlohmann::json::from_cbor(Encode(sent));
  CHECK(plain.at(3).size() == 3);
  sent.contents->rollouts[pool_id("llm")] = {
      .order = {.pool = pool_id("llm"),
                .version = software_version("v2"),
                .time = std::chrono::seconds(12)},
      .phase = rollouts::rollout_phase::kComplete,
      .elapsed = std::chrono::seconds(9),
      .retired = {software_version("v1")}};
  const auto got = Decode(Encode(sent));
  REQUIRE(got.has_value());
  CHECK(std::get<state_update>(got.value()).contents == sent.contents);
}

TEST_CASE("evidence with a member missing: refused as malformed") {
  // ["e", [[], []]]
  const auto got = Decode("\x82\x61\x65\x82\x80\x80");
  REQUIRE_FALSE(got.has_value());
  CHECK(got.error().code == error_code::kMalformed);
}

streams::stream_record StreamRecord(std::uint64_t key,
                                    const std::string& version,
                                    std::chrono::milliseconds remaining) {
  return {.key = stream_key(key),
          .origin = {.pool = pool_id("model-pool"),
                     .version = software_version(version)},
          .remaining = remaining};
}

void RequireEqual(const streams::stream_record& a,
                  const streams::stream_record& b) {
  CHECK(a.key == b.key);
  CHECK(a.origin == b.origin);
  CHECK(a.remaining == b.remaining);
}

TEST_CASE("streams of two versions: encoded and decoded: the same, in groups") {
  using std::chrono::milliseconds;
  const auto got = Decode(Encode(stream_update{
      .records = {StreamRecord(0xffffffffffffffff, "v1", milliseconds(1000)),
                  StreamRecord(2, "", milliseconds(240'000)),
                  StreamRecord(3, "v1", milliseconds(0))}}));
  REQUIRE(got.has_value());
  const auto& records = std::get<stream_update>(got.value()).records;
  REQUIRE(records.size() == 3);
  RequireEqual(records[0],
               StreamRecord(0xffffffffffffffff, "v1", milliseconds(1000)));
  RequireEqual(records[1], StreamRecord(3, "v1", milliseconds(0)));
  RequireEqual(records[2], StreamRecord(2, "", milliseconds(240'000)));
}

TEST_CASE("time that remains to a stream: rounded up, never above the bound") {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const auto sent = [](milliseconds remaining) {
    const auto got = Decode(
        Encode(stream_update{.records = {StreamRecord(1, "v", remaining)}}));
    REQUIRE(got.has_value());
    return std::get<stream_update>(got.value()).records.at(0).remaining;
  };
  CHECK(sent(milliseconds(1)) == milliseconds(1000));
  CHECK(sent(milliseconds(1001)) == milliseconds(2000));
  CHECK(sent(seconds(90)) == seconds(90));
  CHECK(sent(milliseconds(-5)) == milliseconds(0));
  CHECK(sent(milliseconds::min()) == milliseconds(0));
  CHECK(sent(milliseconds::max()) == streams::kMaxRemaining);
  // ["r", [["p", "v", h'0000000000000001', h'ff']]]
  const auto beyond = Decode(std::string(
      "\x82\x61r\x81\x84\x61p\x61v\x48\0\0\0\0\0\0\0\x01\x41\xff", 20));
  REQUIRE(beyond.has_value());
  CHECK(std::get<stream_update>(beyond.value()).records.at(0).remaining ==
        streams::kMaxRemaining);
}

TEST_CASE("question about streams and its answer: the same") {
  const auto query = Decode(
      Encode(stream_query{.keys = {stream_key(1), stream_key(1ULL << 63)}}));
  REQUIRE(query.has_value());
  CHECK(std::get<stream_query>(query.value()).keys ==
        std::vector{stream_key(1), stream_key(1ULL << 63)});
  const auto answer = Decode(Encode(
      stream_answer{.known = {StreamRecord(1, "v1", std::chrono::seconds(7))},
                    .unknown = {stream_key(9)}}));
  REQUIRE(answer.has_value());
  const auto& got = std::get<stream_answer>(answer.value());
  REQUIRE(got.known.size() == 1);
  RequireEqual(got.known[0], StreamRecord(1, "v1", std::chrono::seconds(7)));
  CHECK(got.unknown == std::vector{stream_key(9)});
}

TEST_CASE("message of a later kind: not an error, and no known message") {
  // ["zz", 1, {"a": 2}]
  const auto got = Decode(std::string("\x83\x62zz\x01\xa1\x61\x61\x02"));
  REQUIRE(got.has_value());
  CHECK(std::get<unrecognised_message>(got.value()).kind == "zz");
}

TEST_CASE("streams malformed: refused") {
  const auto malformed = [](const std::string& bytes) {
    const auto got = Decode(bytes);
    return !got.has_value() && got.error().code == error_code::kMalformed;
  };
  // ["a", h'00000000000000'], which is 7 bytes
  CHECK(malformed(std::string("\x82\x61\x61\x47\0\0\0\0\0\0\0", 11)));
  // ["a", 1], ["a", "text"], ["a"]
  CHECK(malformed("\x82\x61\x61\x01"));
  CHECK(malformed("\x82\x61\x61\x64text"));
  CHECK(malformed("\x81\x61\x61"));
  // ["r", 1], ["r", {}], ["r", [1]]
  CHECK(malformed("\x82\x61r\x01"));
  CHECK(malformed("\x82\x61r\xa0"));
  CHECK(malformed("\x82\x61r\x81\x01"));
  // ["r", [["p", "v", h'', h'']]], a group of none
  CHECK(malformed("\x82\x61r\x81\x84\x61p\x61v\x40\x40"));
  // ["r", [["p", "v", h'0000000000000001', h'0101']]], two times of one stream
  CHECK(malformed(std::string(
      "\x82\x61r\x81\x84\x61p\x61v\x48\0\0\0\0\0\0\0\x01\x42\x01\x01", 21)));
  // ["r", [["p", 1, h'0000000000000001', h'01']]]
  CHECK(malformed(std::string(
      "\x82\x61r\x81\x84\x61p\x01\x48\0\0\0\0\0\0\0\x01\x41\x01", 19)));
  // ["o", []], no list of unknown ones
  CHECK(malformed("\x82\x61o\x80"));
}

TEST_CASE("streams: more than a message may hold, or names too long: refused") {
  std::vector<streams::stream_record> records;
  std::vector<stream_key> keys;
  for (std::uint64_t i = 0; i < kMaxStreamsPerMessage; ++i) {
    keys.emplace_back(i);
    records.push_back(
        StreamRecord(i, "v" + std::to_string(i % 3), std::chrono::seconds(1)));
  }
  CHECK(Decode(Encode(stream_query{.keys = keys})).has_value());
  CHECK(Decode(Encode(stream_update{.records = records})).has_value());
  keys.emplace_back(7);
  records.push_back(StreamRecord(7, "v", std::chrono::seconds(1)));
  CHECK_FALSE(Decode(Encode(stream_query{.keys = keys})).has_value());
  CHECK_FALSE(Decode(Encode(stream_update{.records = records})).has_value());
  const std::string longest(streams::kMaxVersionBytes, 'v');
  const auto named = [](const std::string& version) {
    return Encode(stream_update{
        .records = {StreamRecord(1, version, std::chrono::seconds(1))}});
  };
  CHECK(Decode(named(longest)).has_value());
  CHECK_FALSE(Decode(named(longest + "v")).has_value());
}

TEST_CASE("streams: any bytes: decoding fails or yields what encodes alike") {
  rc::prop("no byte sequence is read differently the second time", [] {
    const std::string whole = Encode(
        stream_answer{.known = {StreamRecord(1, "v1", std::chrono::seconds(7)),
                                StreamRecord(2, "v2", std::chrono::seconds(8))},
                      .unknown = {stream_key(9)}});
    std::string bytes = whole;
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
      bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
          static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
    }
    bytes.resize(*rc::gen::weightedOneOf<std::size_t>(
        {{3, rc::gen::just(bytes.size())},
         {1, rc::gen::inRange<std::size_t>(0, bytes.size())}}));
    const auto got = Decode(bytes);
    if (!got) {
      return;
    }
    const std::string again = Encode(got.value());
    const auto second = Decode(again);
    RC_ASSERT(second.has_value());
    RC_ASSERT(Encode(second.value()) == again);
  });
}

TEST_CASE("streams on the wire: bytes of a record alone and among others") {
  const auto bytes = [](std::size_t count) {
    stream_update update;
    for (std::uint64_t i = 0; i < count; ++i) {
      update.records.push_back(StreamRecord(i * 0x9e3779b97f4a7c15, "v1.1",
                                            std::chrono::seconds(30)));
    }
    return Encode(update).size();
  };
  CHECK(bytes(1) == 32);
  CHECK(bytes(kMaxStreamsPerMessage) == 27 + kMaxStreamsPerMessage * 9);
  stream_query query;
  CHECK(Encode(query).size() == 4);
  query.keys.assign(1, stream_key(7));
  CHECK(Encode(query).size() == 12);
}

}  // namespace
}  // namespace burdocklock::control
