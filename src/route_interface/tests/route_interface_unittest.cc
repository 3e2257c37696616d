// The native configuration format and the header fields of calls to routes.
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "route_interface/configuration_document.h"
#include "route_interface/route_dialect.h"
#include "routes/caller_access.h"
#include "routes/configuration_checks.h"

namespace burdocklock::route_interface {
namespace {

namespace http = net::http;

using gateway::head_verdict;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct document_fixture {
  json document = json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "summaries", "host_name": "a.example", "path_prefix": "/x/",
       "kind": "stream", "timeout_ms": 15000, "objective_ms": 800,
       "pause_objective_ms": 200, "rank": 1, "max_attempts": 2,
       "resumable": true,
       "services": [{"service": "s1", "weight": 90}, {"service": "s2"}]},
      {"name": "orders", "host_name": "a.example", "path_prefix": "/y/",
       "kind": "at_most_once", "timeout_ms": 800, "anonymous": true,
       "services": [{"service": "s2"}]}],
    "services": [
      {"name": "s1", "health_path": "/h", "max_connections": 370,
       "cold_ms": 3000, "cold_requests_per_s": 12.5, "memory_tokens": 500,
       "copies_prompts": true},
      {"name": "s2"}],
    "customers": [{"name": "c", "keys": ["k1", "k2"], "rank": 2}],
    "limits": {"read_timeout_ms": 3000, "idle_timeout_ms": 9000},
    "engine_tokens_per_s": 290000.5})");

  result<routes::configuration> Read() const {
    return configuration_document().Read(document.dump());
  }
  std::string Problem() const {
    const auto read = Read();
    REQUIRE_FALSE(read.has_value());
    return read.error().detail;
  }
};

TEST_CASE_METHOD(document_fixture, "document: complete: every member is read") {
  const auto read = Read();
  REQUIRE(read.has_value());
  const routes::configuration& c = read.value();
  CHECK(routes::Check(c).has_value());
  CHECK(c.version.value() == 7);
  CHECK(c.engine_throughput == 290000.5);
  REQUIRE(c.routes.size() == 2);
  CHECK(c.routes[0] ==
        routes::route{.name = "summaries",
                      .host_name = "a.example",
                      .path_prefix = "/x/",
                      .kind = routes::route_kind::kStreaming,
                      .timeout = milliseconds(15000),
                      .latency_objective = milliseconds(800),
                      .pause_objective = milliseconds(200),
                      .rank = 1,
                      .services = {{.service = pool_id("s1"), .weight = 90},
                                   {.service = pool_id("s2"), .weight = 1}},
                      .max_attempts = 2,
                      .resumable = true,
                      .has_prompt = true});
  CHECK(c.routes[1].kind == routes::route_kind::kNonIdempotent);
  CHECK(c.routes[1].anonymous);
  CHECK(c.services[0].cold_time == milliseconds(3000));
  CHECK(c.services[0].cold_rate == 12.5);
  CHECK(c.services[0].memory_tokens == 500);
  CHECK(c.services[0].copies_prompts);
  CHECK_FALSE(c.services[1].copies_prompts);
  CHECK(routes::CustomersOf(c.access)[0].api_keys.size() == 2);
  CHECK(c.limits.read_timeout == milliseconds(3000));
  CHECK(c.limits.max_body_bytes == routes::caller_limits().max_body_bytes);
}

TEST_CASE_METHOD(document_fixture,
                 "document: misspelt member: refused with its path") {
  document["routes"][1]["timeout"] = 5;
  CHECK(Problem() == "routes[1].timeout: is not known");
}

TEST_CASE_METHOD(document_fixture,
                 "document: member of the wrong type: refused with its path") {
  document["services"][0]["cold_ms"] = "3000";
  CHECK(Problem() ==
        "services[0].cold_ms: must be an integer that is not negative");
}

TEST_CASE_METHOD(document_fixture,
                 "document: unknown kind: refused with the valid kinds") {
  document["routes"][0]["kind"] = "streaming";
  CHECK(Problem() ==
        "routes[0].kind: must be idempotent, at_most_once or stream");
}

TEST_CASE_METHOD(document_fixture,
                 "document: required member missing: refused") {
  document["routes"][0].erase("host_name");
  CHECK(Problem() == "routes[0].host_name: must be a string that is not empty");
}

TEST_CASE("document: not an object: refused") {
  CHECK_FALSE(configuration_document().Read("").has_value());
  CHECK_FALSE(configuration_document().Read("[]").has_value());
  CHECK_FALSE(configuration_document().Read("7").has_value());
}

TEST_CASE_METHOD(
    document_fixture,
    "document: any member replaced by any value: read or refused") {
  rc::prop("no crash", [this] {
    const json flat = document.flatten();
    const auto index = *rc::gen::inRange<std::size_t>(0, flat.size());
    const json value = *rc::gen::element<json>(
        nullptr, -1, 1e300, "", "x", true, json::array(), json::object(),
        json::array({1, nullptr}));
    json changed = document;
    auto member = flat.begin();
    std::advance(member, static_cast<std::ptrdiff_t>(index));
    changed[json::json_pointer(member.key())] = value;
    const auto read = configuration_document().Read(changed.dump());
    if (read) {
      static_cast<void>(routes::Check(read.value()));
    }
  });
}

struct dialect_fixture {
  route_dialect dialect;
  net::http_request request{http::verb::post, "/x/1?q=2", 11};
  gateway::outgoing_call call;
  net::http_response_head head{.status = 200};

  dialect_fixture() {
    request.set(http::field::host, "a.example");
    request.set("X-Request-Id", "n1");
    request.set("X-Time-Left-Ms", "1500");
    request.set("X-Prompt-Tokens", "1460,80");
    request.set("X-Prompt-Parts", "5c1e07a2:800,91bd3f06:410");
    request.set(http::field::authorization, "Bearer key");
    request.body() = "body";
    call.request_name = "n1";
    call.spec.repeatable = false;
    head.fields.set("X-Request-Id", "n1");
  }
};

TEST_CASE_METHOD(dialect_fixture, "call to a route: complete: read") {
  const auto facts = dialect.ReadCall(request);
  REQUIRE(facts.has_value());
  CHECK(facts.value().name == "n1");
  CHECK(facts.value().api_key == "key");
  CHECK(facts.value().patience == milliseconds(1500));
  REQUIRE(facts.value().prompt.has_value());
  CHECK(facts.value().prompt->max_output_tokens == 80);
  CHECK(facts.value().prompt->parts.at(1).id == 0x91bd3f06);
}

TEST_CASE_METHOD(dialect_fixture, "call to a route: malformed field: refused") {
  for (const auto& [field, value] : {std::pair("X-Time-Left-Ms", "-1"),
                                     {"X-Time-Left-Ms", "1x"},
                                     {"X-Prompt-Tokens", "a,b"},
                                     {"X-Request-Id", "a b"}}) {
    net::http_request changed = request;
    changed.set(field, value);
    INFO(field << ": " << value);
    CHECK_FALSE(dialect.ReadCall(changed).has_value());
  }
}

TEST_CASE_METHOD(
    dialect_fixture,
    "call to a route: fields set by routers: the caller's values dropped") {
  request.set("X-Customer", "forged");
  request.set("X-Target", "forged");
  request.set("X-Copy-From", "forged");
  request.set("X-Other", "kept");
  net::http_request built = dialect.BuildTargetRequest(
      request, {.name = "n1", .customer = customer_id("c")});
  CHECK(built.count("X-Target") == 0);
  CHECK(built.count("X-Copy-From") == 0);
  dialect.Prepare({.target = target_id("t"),
                   .time_left = milliseconds(900),
                   .resume_after = "12",
                   .copy_from = endpoint{.address = "10.0.0.9", .port = 80}},
                  built);
  CHECK(built.target() == "/x/1?q=2");
  CHECK(built.body() == "body");
  CHECK(built["X-Customer"] == "c");
  CHECK(built["X-Target"] == "t");
  CHECK(built["X-Time-Left-Ms"] == "900");
  CHECK(built["Last-Event-ID"] == "12");
  CHECK(built["X-Copy-From"] == "10.0.0.9:80");
  CHECK(built["X-Other"] == "kept");
  CHECK(built.count(http::field::authorization) == 0);
}

TEST_CASE_METHOD(dialect_fixture,
                 "421 that names another request: answers that one") {
  head.status = 421;
  CHECK(dialect.Judge(head, call) == head_verdict::kOtherTarget);
  head.fields.set("X-Request-Id", "n2");
  CHECK(dialect.Judge(head, call) == head_verdict::kOtherRequest);
}

TEST_CASE_METHOD(dialect_fixture,
                 "response on a route: classified by its fields") {
  CHECK(dialect.Judge(head, call) == head_verdict::kAnswer);
  head.status = 500;
  CHECK(dialect.Judge(head, call) == head_verdict::kAnswer);
  call.spec.repeatable = true;
  CHECK(dialect.Judge(head, call) == head_verdict::kFailure);
  head.fields.set("X-Admitted", "no");
  CHECK(dialect.Judge(head, call) == head_verdict::kNotAdmitted);
  head.fields.set("X-Request-Id", "n2");
  CHECK(dialect.Judge(head, call) == head_verdict::kOtherRequest);
  head.fields.erase("X-Request-Id");
  CHECK(dialect.Judge(head, call) == head_verdict::kMalformed);
  head.status = 421;
  CHECK(dialect.Judge(head, call) == head_verdict::kOtherTarget);
}

TEST_CASE("rate limit in an answer: a number of requests per second") {
  const route_dialect dialect;
  const auto read = [&](const char* text) {
    net::http_response_head head{.status = 200};
    head.fields.set("X-Rate-Limit", text);
    return dialect.ReadAnswerHead(head, {}).rate_limit;
  };
  CHECK(read("5.9") == 5.9);
  CHECK(read("0") == 0.0);
  for (const char* text : {"", "-1", "nan", "inf", "1e300", "5 a second"}) {
    CAPTURE(text);
    CHECK_FALSE(read(text).has_value());
  }
  CHECK_FALSE(dialect.ReadAnswerHead({.status = 200}, {}).rate_limit);
}

TEST_CASE("leaving in an answer: of any status: read") {
  const route_dialect dialect;
  for (const unsigned status : {200U, 421U, 500U, 503U}) {
    net::http_response_head head{.status = status};
    CHECK_FALSE(dialect.ReadAnswerHead(head, {}).leaving);
    head.fields.set("X-Leaving", "0");
    CHECK_FALSE(dialect.ReadAnswerHead(head, {}).leaving);
    head.fields.set("X-Leaving", "1");
    CHECK(dialect.ReadAnswerHead(head, {}).leaving);
  }
}

struct pause_fixture {
  route_dialect dialect;

  std::optional<duration> Read(const char* text, unsigned status = 503) const {
    net::http_response_head head{.status = status};
    head.fields.set("Retry-After", text);
    return dialect.ReadAnswerHead(head, {}).pause;
  }
};

TEST_CASE_METHOD(pause_fixture,
                 "pause in an answer: seconds, also fractions: read") {
  CHECK(Read("3") == seconds(3));
  CHECK(Read("0.25") == milliseconds(250));
}

TEST_CASE_METHOD(pause_fixture, "pause in an answer: absurdly long: cut") {
  for (const char* text : {"601", "4294967296", "1e18", "1e300"}) {
    CAPTURE(text);
    CHECK(Read(text) == minutes(10));
  }
}

TEST_CASE_METHOD(pause_fixture,
                 "pause in an answer: zero or no number of seconds: none") {
  for (const char* text :
       {"", "0", "0.0", "-0", "-1", "nan", "inf", "-inf", "infinity", "1e999",
        "3 s", "3,5", "0x10", "+3", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    CAPTURE(text);
    CHECK_FALSE(Read(text).has_value());
  }
}

TEST_CASE_METHOD(pause_fixture, "pause in an answer of another status: none") {
  for (const unsigned status : {200U, 301U, 429U, 500U, 502U}) {
    CAPTURE(status);
    CHECK_FALSE(Read("3", status).has_value());
  }
}

}  // namespace
}  // namespace burdocklock::route_interface
