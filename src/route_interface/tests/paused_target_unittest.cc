// Targets that refuse calls and ask for a pause, over loopback.
#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "route_interface/tests/route_path_fixture.h"

namespace burdocklock::route_interface {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr char kPause[] = "X-Admitted: no\r\nRetry-After: 1.5\r\n";
constexpr milliseconds kPauseTime{1500};

struct paused_target_fixture : route_path_fixture {
  std::atomic<bool> pauses = false;
  app::fake_target target{[this](const net::http_request& request) {
    return app::fake_answer{
        .bytes = pauses ? BuildResponse(request, "503 Service Unavailable", "",
                                        kPause)
                        : BuildResponse(request, "200 OK", "target")};
  }};
  app::fake_target other{[](const net::http_request& request) {
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "other")};
  }};

  paused_target_fixture() {
    Replace(1);
    Announce("target", target.address());
    REQUIRE(BecomesServed());
  }
};

TEST_CASE_METHOD(paused_target_fixture,
                 "target asks for a pause: it gets no calls until the end of "
                 "it, then some again") {
  Announce("other", other.address());
  REQUIRE(Until([&] { return CallRoute("/stock/1").body == "other"; }));
  pauses = true;
  const int before = target.requests;
  REQUIRE(Until([&] {
    CallRoute("/orders/1");
    return target.requests > before;
  }));
  const auto asked = steady_clock::now();
  pauses = false;
  while (steady_clock::now() < asked + kPauseTime - milliseconds(300)) {
    CHECK(CallRoute("/orders/1").body == "other");
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(target.requests == before + 1);
  CHECK(Until([&] { return CallRoute("/orders/1").body == "target"; }));
  CHECK(steady_clock::now() >= asked + kPauseTime - milliseconds(100));
}

TEST_CASE_METHOD(paused_target_fixture,
                 "only target asks for a pause: calls are refused at once as "
                 "not run, to come back when it ends") {
  pauses = true;
  CHECK(CallRoute("/orders/1").status == 503);
  const int before = target.requests;
  const auto sent = steady_clock::now();
  const net::http_reply refused = CallRoute("/orders/1");
  CHECK(steady_clock::now() - sent < milliseconds(200));
  CHECK(refused.status == 503);
  CHECK(std::stod(std::string(refused.fields["Retry-After"])) > 1);
  CHECK(target.requests == before);
}

}  // namespace
}  // namespace burdocklock::route_interface
