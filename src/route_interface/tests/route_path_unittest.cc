// End-to-end tests of the native route interface over loopback: a control host,
// a router, targets, callers and operators.
#include <chrono>
#include <string>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "route_interface/tests/route_path_fixture.h"

namespace burdocklock::route_interface {
namespace {

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

// Guards against docs/incidents/017: the target's word was taken for a promise.
TEST_CASE_METHOD(route_path_fixture,
                 "routes: order fails with a status that promises it did not "
                 "run: refused as perhaps run, run once") {
  int orders = 0;
  std::string status;
  app::fake_target target([&](const net::http_request& request) {
    const bool counted = request.target() != "/stock/1";
    orders += counted ? 1 : 0;
    return app::fake_answer{
        .bytes = BuildResponse(request, counted ? status : "200 OK", "b")};
  });
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  for (const char* promise :
       {"408 Late", "429 Busy", "503 Busy", "503 Busy\r\nRetry-After: 0"}) {
    for (const char* path : {"/orders/1", "/talk/1"}) {
      CAPTURE(promise, path);
      status = promise;
      orders = 0;
      const net::http_reply told = CallRoute(path);
      CHECK(told.status == 502);
      CHECK(told.fields.count("Retry-After") == 0);
      CHECK(orders == 1);
    }
  }
  status = "409 Conflict";
  CHECK(CallRoute("/orders/1").status == 409);
}

TEST_CASE_METHOD(route_path_fixture,
                 "routes: idempotent call fails everywhere with 503: the "
                 "target's answer") {
  bool failing = false;
  app::fake_target target([&](const net::http_request& request) {
    return app::fake_answer{
        .bytes = BuildResponse(request, failing ? "503 Busy" : "200 OK", "b")};
  });
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  failing = true;
  CHECK(CallRoute("/stock/1").status == 503);
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

struct short_silence_fixture : route_path_fixture {
  static constexpr std::chrono::seconds kSilence{2};

  short_silence_fixture()
      : route_path_fixture({.settings = [](config::settings& settings) {
          settings.timeouts.target_silence = kSilence;
        }}) {}
};

TEST_CASE_METHOD(short_silence_fixture,
                 "routes: router starts again, a target has been silent since "
                 "before: no calls are sent there until it is heard of") {
  app::fake_target target([&](const net::http_request& request) {
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "b")};
  });
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  StopRouter();
  std::this_thread::sleep_for(kSilence);
  StartRouter();
  // The routes come after the targets.
  REQUIRE(Until([&] { return CallRoute("/none/1").status == 404; }));
  const int before = target.requests;
  CHECK(CallRoute("/stock/1").status == 503);
  CHECK(target.requests == before);
  Announce("t", target.address());
  CHECK(BecomesServed());
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
