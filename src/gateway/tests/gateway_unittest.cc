// Tests of call parsing, stream validation and shutdown admission.
#include <string>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "config/config_reader.h"
#include "config/key_hashing.h"
#include "gateway/call_parser.h"
#include "gateway/numbered_event_scanner.h"
#include "gateway/request_fingerprint.h"
#include "gateway/routed_handler.h"
#include "gateway/sse_scanner.h"
#include "routing/types/drain_window.h"

namespace burdocklock::gateway {
namespace {

using refusals::refusal_reason;

const std::string kName = "shah-alam-1-18c-42";

std::string Event(const std::string& name, const std::string& text) {
  return "data: {\"id\":\"chatcmpl-" + name +
         "\",\"choices\":[{\"delta\":{\"content\":\"" + text + "\"}}]}\n\n";
}

struct scanner_fixture {
  sse_scanner scanner{kName};

  std::string FeedInPieces(const std::string& stream,
                           const std::vector<std::size_t>& cuts) {
    std::string released;
    std::size_t at = 0;
    std::size_t next = 0;
    while (at < stream.size()) {
      const std::size_t size =
          cuts.empty() ? stream.size() : 1 + cuts[next++ % cuts.size()];
      const auto piece = std::string_view(stream).substr(at, size);
      released += scanner.Feed(piece);
      tokens += scanner.new_tokens();
      at += piece.size();
    }
    return released;
  }

  std::uint32_t tokens = 0;
};

TEST_CASE_METHOD(
    scanner_fixture,
    "scanner: events of this request: released and counted, stream closed") {
  const std::string stream = ": note\n\n" + Event(kName, "a") +
                             Event(kName, "b") + "data: {\"id\":\"chatcmpl-" +
                             kName +
                             "\",\"choices\":[],\"usage\":{\"prompt_tokens\":5,"
                             "\"completion_tokens\":2}}\n\ndata: [DONE]\n\n";
  CHECK(FeedInPieces(stream, {}) == stream);
  CHECK(scanner.state() == stream_state::kDone);
  CHECK(tokens == 2);
  REQUIRE(scanner.reported_usage().has_value());
  CHECK(scanner.reported_usage()->prompt_tokens == 5);
}

TEST_CASE_METHOD(scanner_fixture,
                 "scanner: event of a request with a longer ID: refused") {
  FeedInPieces(Event(kName + "3", "a"), {});
  CHECK(scanner.state() == stream_state::kWrongAnswer);
}

TEST_CASE_METHOD(scanner_fixture,
                 "scanner: id not first in the document: still recognised") {
  const std::string event =
      "data: {\"choices\":[{\"delta\":{\"tool_calls\":"
      "[{\"id\":\"call-1\"}]}}],\"id\":\"chatcmpl-" +
      kName + "\"}\n\n";
  CHECK(FeedInPieces(event, {}) == event);
}

TEST_CASE_METHOD(scanner_fixture,
                 "scanner: error without id: reported as target error") {
  FeedInPieces("data: {\"error\":{\"message\":\"x\"}}\n\n", {});
  CHECK(scanner.state() == stream_state::kTargetError);
}

TEST_CASE_METHOD(scanner_fixture,
                 "scanner: carriage returns as line ends: events are split") {
  const std::string stream = "data: {\"id\":\"cmpl-" + kName +
                             "\",\"choices\":[]}\r\n\r\ndata: [DONE]\r\n\r\n";
  CHECK(FeedInPieces(stream, {0}) == stream);
  CHECK(scanner.state() == stream_state::kDone);
}

TEST_CASE(
    "scanner: any split of a stream: same output, no event of other requests") {
  rc::prop(
      "output does not depend on splits; events of other requests are dropped",
      [] {
        scanner_fixture fixture;
        const auto kinds =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
        const auto cuts = *rc::gen::container<std::vector<std::size_t>>(
            rc::gen::inRange<std::size_t>(0, 60));
        std::string stream;
        std::string allowed;
        bool foreign = false;
        for (const int kind : kinds) {
          const std::string event = kind == 0 ? Event("other-18c-42", "secret")
                                              : Event(kName, "mine");
          foreign |= kind == 0;
          stream += event;
          allowed += foreign ? "" : event;
        }
        const std::string released = fixture.FeedInPieces(stream, cuts);
        RC_ASSERT(released == allowed);
        RC_ASSERT((fixture.scanner.state() == stream_state::kWrongAnswer) ==
                  foreign);
      });
}

TEST_CASE(
    "scanner: any bytes: no crash, no event without the request ID passes") {
  rc::prop("no crash", [](const std::string& bytes) {
    sse_scanner scanner(kName);
    const std::string released(scanner.Feed("data: " + bytes + "\n\n"));
    RC_ASSERT(released.empty() ||
              released.find("data: {") == std::string::npos);
  });
}

struct call_fixture {
  config::sheet_index sheet{Sheet()};
  std::string authorization = "Bearer key-a";

  static config::sheet Sheet() {
    config::sheet sheet;
    sheet.models = {{.id = pool_id("lamp-llm")}, {.id = pool_id("other")}};
    sheet.services = {{.id = pool_id("spares-desk")}};
    sheet.customers = {{.id = customer_id("a"),
                        .api_keys = {config::HashKey("key-a")},
                        .models = {pool_id("lamp-llm")},
                        .services = {pool_id("spares-desk")}}};
    return sheet;
  }

  call_result Parse(const std::string& method,
                    const std::string& path,
                    const std::string& body = "") {
    return ParseCall({.method = method,
                      .path = path,
                      .authorization = authorization,
                      .body = body},
                     sheet);
  }
  refusal_reason Reason(const call_result& result) {
    REQUIRE(std::holds_alternative<rejected_call>(result));
    return std::get<rejected_call>(result).reason;
  }
};

constexpr char kChat[] = "/v1/chat/completions";

TEST_CASE_METHOD(call_fixture, "call: streamed chat: parsed") {
  const auto result = Parse(
      "POST", kChat, R"({"model":"lamp-llm","stream":true,"messages":[]})");
  REQUIRE(std::holds_alternative<parsed_call>(result));
  const auto& call = std::get<parsed_call>(result);
  CHECK(call.spec.kind == routing::call_kind::kStreamedGeneration);
  CHECK(call.spec.customer == customer_id("a"));
  CHECK(call.spec.repeatable);
}

TEST_CASE_METHOD(call_fixture, "call: invalid: rejected with reason") {
  CHECK(Reason(Parse("POST", kChat, "{")) == refusal_reason::kMalformedRequest);
  CHECK(Reason(Parse("POST", kChat, R"({"model":7,"messages":[]})")) ==
        refusal_reason::kMalformedRequest);
  CHECK(Reason(Parse("POST", kChat,
                     R"({"model":"lamp-llm","stream":"x","messages":[]})")) ==
        refusal_reason::kMalformedRequest);
  CHECK(Reason(Parse("POST", kChat, R"({"model":"x","messages":[]})")) ==
        refusal_reason::kUnknownPool);
  CHECK(Reason(Parse("POST", kChat, R"({"model":"other","messages":[]})")) ==
        refusal_reason::kPoolNotAllowed);
  CHECK(Reason(Parse("GET", "/services/none/x")) ==
        refusal_reason::kUnknownPool);
  authorization = "Bearer key-b";
  CHECK(Reason(Parse("POST", kChat, "{}")) == refusal_reason::kUnknownKey);
  authorization = "Basic key-a";
  CHECK(Reason(Parse("POST", kChat, "{}")) == refusal_reason::kUnknownKey);
}

TEST_CASE_METHOD(call_fixture,
                 "call: service path: forwarded without the prefix") {
  const auto result = Parse("POST", "/services/spares-desk/orders?x=1");
  REQUIRE(std::holds_alternative<parsed_call>(result));
  CHECK(std::get<parsed_call>(result).target_path == "/orders?x=1");
  CHECK(!std::get<parsed_call>(result).spec.repeatable);
}

TEST_CASE_METHOD(call_fixture, "call: path not in canonical form: rejected") {
  const std::string path = GENERATE(
      "//orders", "/./orders", "/a/../orders", "/%6frders", "/%2e%2e/orders",
      "/orders%2f7", "/orders/..", "/a\\b", "/orders;x", "/%zz", "/%a");
  CHECK(Reason(Parse("GET", "/services/spares-desk" + path)) ==
        refusal_reason::kMalformedRequest);
}

TEST_CASE("call: any body: rejected without a crash") {
  rc::prop("no crash", [](const std::string& body) {
    call_fixture fixture;
    const auto result = fixture.Parse("POST", kChat, body);
    RC_ASSERT(std::holds_alternative<rejected_call>(result));
  });
}

TEST_CASE("call: deeply nested body: rejected without exhausting the stack") {
  call_fixture fixture;
  const auto result = fixture.Parse("POST", kChat, std::string(2'000'000, '['));
  CHECK(std::holds_alternative<rejected_call>(result));
}

struct numbered_fixture {
  static std::string Numbered(int first, int last) {
    std::string stream;
    for (int i = first; i <= last; ++i) {
      stream += "id: " + std::to_string(i) + "\ndata: x\n\n";
    }
    return stream;
  }
};

TEST_CASE_METHOD(numbered_fixture,
                 "numbered events: split into any pieces: released whole, in "
                 "order") {
  const std::string stream = Numbered(0, 12);
  for (std::size_t size = 1; size < stream.size(); ++size) {
    numbered_event_scanner scanner(std::nullopt);
    std::string released;
    for (std::size_t at = 0; at < stream.size(); at += size) {
      released += scanner.Feed(std::string_view(stream).substr(at, size));
      REQUIRE((released.empty() || released.ends_with("\n\n")));
    }
    REQUIRE(released == stream);
    REQUIRE(scanner.IsCompleteAtEnd());
    REQUIRE(scanner.last_event_id() == "12");
  }
}

TEST_CASE_METHOD(numbered_fixture,
                 "numbered events: body ends within an event: incomplete") {
  numbered_event_scanner scanner(std::nullopt);
  scanner.Feed(Numbered(0, 2) + "id: 3\ndata: x\n");
  CHECK_FALSE(scanner.IsCompleteAtEnd());
  CHECK(scanner.last_event_id() == "2");
}

TEST_CASE_METHOD(
    numbered_fixture,
    "numbered events: gap, repeat or missing number: stream stopped") {
  for (const std::string& wrong :
       {Numbered(4, 4), Numbered(2, 2), std::string("data: x\n\n"),
        std::string("id: 3x\ndata: x\n\n")}) {
    numbered_event_scanner scanner(std::nullopt);
    const std::string good = Numbered(1, 2);
    CHECK(scanner.Feed(good + wrong) == good);
    CHECK(scanner.state() == stream_state::kWrongAnswer);
    CHECK(scanner.Feed(Numbered(3, 3)).empty());
  }
}

TEST_CASE_METHOD(numbered_fixture,
                 "numbered events: resumed: must continue after the last ID") {
  numbered_event_scanner scanner(7);
  CHECK(scanner.Feed(Numbered(8, 9)) == Numbered(8, 9));
  numbered_event_scanner from_start(7);
  CHECK(from_start.Feed(Numbered(0, 1)).empty());
  CHECK(from_start.state() == stream_state::kWrongAnswer);
}

TEST_CASE("call on a route: limits of route and caller: the stricter applies") {
  const routes::route route{.name = "r",
                            .kind = routes::route_kind::kStreaming,
                            .timeout = std::chrono::milliseconds(3000),
                            .services = {{.service = pool_id("llm")}},
                            .max_attempts = 2,
                            .resumable = true};
  call_facts facts{.name = "n", .patience = std::chrono::milliseconds(1000)};
  auto spec = BuildRequestSpec(route, customer_id("c"), facts);
  CHECK(spec.time_limit == std::chrono::milliseconds(1000));
  CHECK(spec.repeatable);
  CHECK(spec.resumable);
  CHECK(spec.max_attempts == 2U);
  facts.patience.reset();
  spec = BuildRequestSpec(route, customer_id("c"), facts);
  CHECK(spec.time_limit == std::chrono::milliseconds(3000));
}

struct streaming_route_fixture {
  routes::route route{.name = "r",
                      .kind = routes::route_kind::kStreaming,
                      .timeout = std::chrono::milliseconds(3000),
                      .services = {{.service = pool_id("llm")}},
                      .max_attempts = 2,
                      .resumable = true};

  [[nodiscard]] routing::request_spec Build(const call_facts& facts) const {
    return BuildRequestSpec(route, customer_id("c"), facts);
  }
};

TEST_CASE_METHOD(streaming_route_fixture,
                 "call on a route: names an earlier try or a last event: taken "
                 "up, also where the route is not resumable") {
  route.resumable = GENERATE(true, false);
  CAPTURE(route.resumable);
  const routing::request_spec begun =
      Build({.name = "n", .resumes = "", .has_events = false});
  CHECK_FALSE(begun.taken_up);
  CHECK(begun.stream.has_value() == route.resumable);
  const routing::request_spec named =
      Build({.name = "n2", .resumes = "n", .has_events = true});
  CHECK(named.taken_up);
  CHECK(named.stream == StreamKeyOf(customer_id("c"), "n"));
  CHECK(named.route_pools == std::vector{pool_id("llm")});
  CHECK(named.resumable == route.resumable);
  CHECK(Build({.name = "n2", .resumes = "n"}).taken_up);
  const routing::request_spec unnamed =
      Build({.name = "n2", .has_events = true});
  CHECK(unnamed.taken_up);
  CHECK_FALSE(unnamed.stream.has_value());
}

TEST_CASE_METHOD(streaming_route_fixture,
                 "call on a route: traffic of a service has moved away: its "
                 "streams may go on there, nothing new begins there") {
  route.services = {{.service = pool_id("old"), .weight = 0},
                    {.service = pool_id("new"), .weight = 1}};
  const routing::request_spec taken_up =
      Build({.name = "n2", .resumes = "n", .has_events = true});
  CHECK(taken_up.route_pools == std::vector{pool_id("old"), pool_id("new")});
  for (int i = 0; i < 100; ++i) {
    CHECK(Build({.name = std::to_string(i)}).pool == pool_id("new"));
  }
}

TEST_CASE_METHOD(streaming_route_fixture,
                 "call on a route that does not stream: names an earlier try: "
                 "served as any other") {
  route.kind = routes::route_kind::kIdempotent;
  const routing::request_spec spec =
      Build({.name = "n2", .resumes = "n", .has_events = true});
  CHECK_FALSE(spec.taken_up);
  CHECK_FALSE(spec.stream.has_value());
}

TEST_CASE("drain window: before notice_end: any call is accepted") {
  const time_point begin;
  const routing::drain_window window{
      .notice_end = begin + std::chrono::seconds(2),
      .cut = begin + std::chrono::seconds(7)};
  CHECK(window.Accepts(begin + std::chrono::seconds(1), std::nullopt));
  CHECK(window.Accepts(begin + std::chrono::seconds(1), std::chrono::hours(1)));
}

TEST_CASE(
    "drain window: after notice_end: only calls that end before the cut") {
  const time_point begin;
  const routing::drain_window window{
      .notice_end = begin + std::chrono::seconds(2),
      .cut = begin + std::chrono::seconds(7)};
  rc::prop("an accepted call ends before the cut", [&] {
    const auto now =
        begin + std::chrono::milliseconds(*rc::gen::inRange(2'000, 9'000));
    const auto longest =
        std::chrono::milliseconds(*rc::gen::inRange(0, 20'000));
    if (window.Accepts(now, longest)) {
      RC_ASSERT(now + longest < window.cut);
    }
  });
  CHECK(window.Accepts(window.notice_end, std::chrono::seconds(1)));
  CHECK_FALSE(window.Accepts(window.notice_end, std::nullopt));
  CHECK_FALSE(window.Accepts(window.cut, std::chrono::milliseconds(0)));
}

}  // namespace
}  // namespace burdocklock::gateway
