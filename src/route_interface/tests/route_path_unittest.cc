// End-to-end tests of the native route interface over loopback: a control host,
// a router, targets, callers and operators.
#include <chrono>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/tests/fake_target.h"
#include "app/tests/path_fixture.h"
#include "config/key_hashing.h"
#include "route_interface/route_adapter.h"

namespace burdocklock::route_interface {
namespace {

namespace http = net::http;

using nlohmann::json;

constexpr char kOperatorToken[] = "operator-token";
constexpr char kTargetToken[] = "target-token";

struct route_path_fixture : app::path_fixture<route_adapter> {
  int sequence = 0;

  route_path_fixture()
      : path_fixture(
            route_adapter({.operators = {config::HashKey(kOperatorToken)},
                           .targets = {config::HashKey(kTargetToken)}})) {}

  net::http_reply Command(http::verb verb,
                          const std::string& path,
                          const std::string& token,
                          const std::string& body = "") const {
    net::http_request request(verb, path, 11);
    request.set(http::field::authorization, "Bearer " + token);
    request.body() = body;
    return Call(control_settings.commands, std::move(request));
  }
  static json Configuration(std::uint64_t version) {
    return {{"version", version},
            {"routes",
             {{{"name", "orders"},
               {"host_name", "desk.example"},
               {"path_prefix", "/orders/"},
               {"kind", "at_most_once"},
               {"timeout_ms", 2000},
               {"services", {{{"service", "desk"}}}}},
              {{"name", "stock"},
               {"host_name", "desk.example"},
               {"path_prefix", "/stock/"},
               {"kind", "idempotent"},
               {"timeout_ms", 2000},
               {"max_attempts", 2},
               {"services", {{{"service", "desk"}}}}}}},
            {"services", {{{"name", "desk"}}}},
            {"customers", {{{"name", "c"}, {"keys", {"k"}}}}}};
  }
  void Replace(std::uint64_t version) const {
    REQUIRE(Until([&] {
      return Command(http::verb::put, "/v1/configuration", kOperatorToken,
                     Configuration(version).dump())
                 .status == 200;
    }));
  }
  json Announcement(const std::string& target, const endpoint& address) {
    return {{"target", target},   {"incarnation", 1},
            {"data_centre", "z"}, {"kind", "service"},
            {"service", "desk"},  {"address", ToString(address)},
            {"state", "ready"},   {"slots", 4},
            {"cold_slots", 4},    {"sequence", ++sequence}};
  }
  void Announce(const std::string& target, const endpoint& address) {
    REQUIRE(Command(http::verb::post, "/v1/targets/announce", kTargetToken,
                    Announcement(target, address).dump())
                .status == 200);
  }
  net::http_reply CallRoute(const std::string& path,
                            const std::string& key = "k",
                            const std::string& name = "") const {
    net::http_request request(http::verb::get, path, 11);
    request.set(http::field::host, "desk.example");
    request.set(http::field::authorization, "Bearer " + key);
    if (!name.empty()) {
      request.set("X-Request-Id", name);
    }
    return Call(addresses.callers, std::move(request));
  }
  bool BecomesServed() const {
    return Until([&] { return CallRoute("/stock/1").status == 200; });
  }
};

std::string BuildResponse(const net::http_request& request,
                          const std::string& status,
                          const std::string& body,
                          const std::string& fields = "") {
  return "HTTP/1.1 " + status +
         "\r\nX-Request-Id: " + std::string(request["X-Request-Id"]) + "\r\n" +
         fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

TEST_CASE_METHOD(route_path_fixture,
                 "routes: nothing configured: not ready, calls get 503") {
  CHECK(Readiness("/readyz") == 503);
  CHECK(CallRoute("/stock/1").status == 503);
}

TEST_CASE_METHOD(route_path_fixture,
                 "routes: configured and announced: served with the caller's "
                 "request id, or a generated one") {
  std::string customer;
  std::string target_id_field;
  app::fake_target target([&](const net::http_request& request) {
    customer = std::string(request["X-Customer"]);
    target_id_field = std::string(request["X-Target"]);
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "b")};
  });
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  CHECK(customer == "c");
  CHECK(target_id_field == "t");
  CHECK(Readiness("/readyz") == 200);
  CHECK(CallRoute("/stock/1", "k", "mine").fields["X-Request-Id"] == "mine");
  CHECK(!CallRoute("/stock/1").fields["X-Request-Id"].empty());
  CHECK(CallRoute("/stock/1", "other").status == 401);
  CHECK(CallRoute("/none/1").status == 404);
}

TEST_CASE_METHOD(route_path_fixture,
                 "routes: order not admitted by the target: refused as not "
                 "run, never retried on that target") {
  app::fake_target target([&](const net::http_request& request) {
    return app::fake_answer{
        .bytes =
            request.target() == "/stock/1"
                ? BuildResponse(request, "200 OK", "b")
                : BuildResponse(request, "503 Busy", "", "X-Admitted: no\r\n")};
  });
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  CHECK(CallRoute("/orders/1").status == 503);
}

TEST_CASE_METHOD(
    route_path_fixture,
    "routes: order fails on its target: failure returned, run once") {
  int orders = 0;
  app::fake_target target([&](const net::http_request& request) {
    const bool order = request.target() == "/orders/1";
    orders += order ? 1 : 0;
    return app::fake_answer{
        .bytes = BuildResponse(request, order ? "500 Error" : "200 OK", "b")};
  });
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  CHECK(CallRoute("/orders/1").status == 500);
  CHECK(orders == 1);
}

TEST_CASE_METHOD(route_path_fixture,
                 "routes: target withdrawn: calls are refused as not run") {
  app::fake_target target([&](const net::http_request& request) {
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "b")};
  });
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  REQUIRE(Command(http::verb::post, "/v1/targets/withdraw", kTargetToken,
                  R"({"target":"t"})")
              .status == 200);
  CHECK(Until([&] { return CallRoute("/stock/1").status == 503; }));
}

TEST_CASE_METHOD(route_path_fixture,
                 "routes: data centre taken out and back in: no calls are "
                 "sent there meanwhile") {
  app::fake_target target([&](const net::http_request& request) {
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "b")};
  });
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  const std::string data_centre_path = "/v1/data-centres/z/";
  REQUIRE(Command(http::verb::post, data_centre_path + "out", kOperatorToken)
              .status == 200);
  CHECK(Until([&] { return CallRoute("/stock/1").status == 503; }));
  const int before = target.requests;
  CHECK(CallRoute("/stock/1").status == 503);
  CHECK(target.requests == before);
  REQUIRE(Command(http::verb::post, data_centre_path + "in", kOperatorToken)
              .status == 200);
  CHECK(BecomesServed());
  CHECK(Command(http::verb::post, "/v1/data-centres/q/out", kOperatorToken)
            .status == 404);
}

TEST_CASE_METHOD(route_path_fixture,
                 "routes: latest configuration: read back unchanged") {
  Replace(3);
  const net::http_reply read =
      Command(http::verb::get, "/v1/configuration", kOperatorToken);
  CHECK(json::parse(read.body) == Configuration(3));
}

TEST_CASE_METHOD(route_path_fixture,
                 "routes: malformed commands or wrong tokens: refused, nothing "
                 "changes") {
  Replace(1);
  const std::string path = "/v1/configuration";
  json unknown = Configuration(2);
  unknown["routes"][0]["timeoutms"] = 5;
  CHECK(Command(http::verb::put, path, kOperatorToken, unknown.dump()).status ==
        400);
  CHECK(Command(http::verb::put, path, kOperatorToken, "{").status == 400);
  CHECK(Command(http::verb::put, path, kTargetToken, Configuration(2).dump())
            .status == 401);
  CHECK(Command(http::verb::get, path, "").status == 401);
  CHECK(Command(http::verb::post, "/v1/targets/announce", kOperatorToken, "{}")
            .status == 401);
  CHECK(Command(http::verb::post, "/v1/targets/announce", kTargetToken, "{}")
            .status == 400);
  json without_sequence = Announcement("t", {.port = 1});
  without_sequence.erase("sequence");
  CHECK(Command(http::verb::post, "/v1/targets/announce", kTargetToken,
                without_sequence.dump())
            .status == 400);
  CHECK(Command(http::verb::post, "/v1/targets/withdraw", kTargetToken, "[]")
            .status == 400);
  CHECK(Command(http::verb::delete_, path, kOperatorToken).status == 405);
  CHECK(Command(http::verb::get, "/v1/none", kOperatorToken).status == 404);
  const auto read =
      json::parse(Command(http::verb::get, path, kOperatorToken).body);
  CHECK(read["version"] == 1);
}

}  // namespace
}  // namespace burdocklock::route_interface
