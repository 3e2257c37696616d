// Connections of callers whose answers promise that they stay open.
#include <chrono>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "framework/net/tests/blocking_caller.h"
#include "route_interface/tests/route_path_fixture.h"

namespace burdocklock::route_interface {
namespace {

using std::chrono::milliseconds;

struct long_notice_fixture : route_path_fixture {
  app::fake_target target{[](const net::http_request& request) {
    if (request.target() == "/stock/later") {
      std::this_thread::sleep_for(milliseconds(400));
    }
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "b")};
  }};

  long_notice_fixture()
      : route_path_fixture({.settings = [](config::settings& settings) {
          settings.timeouts.drain_notice = milliseconds(2000);
          settings.timeouts.shutdown = milliseconds(5000);
        }}) {
    Replace(1);
    Announce("t", target.address());
    REQUIRE(BecomesServed());
  }
};

// The next request on such a connection got no answer during a drain.
TEST_CASE_METHOD(long_notice_fixture,
                 "drain begins while a request runs: its connection stays open "
                 "unless its answer says otherwise") {
  net::blocking_caller caller(addresses.callers);
  bool open = true;
  int answers = 0;
  for (const char* path : {"/stock/later", "/stock/1", "/stock/2"}) {
    caller.Send("GET " + std::string(path) +
                " HTTP/1.1\r\nHost: desk.example\r\n"
                "Authorization: Bearer k\r\n\r\n");
    if (answers == 0) {
      std::this_thread::sleep_for(milliseconds(150));
      router->Stop();
    }
    const net::read_answer answer = caller.Read();
    if (!answer.whole || !open) {
      break;
    }
    ++answers;
    open = answer.keep_alive;
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(answers >= 1);
  CHECK(!open);
}

}  // namespace
}  // namespace burdocklock::route_interface
