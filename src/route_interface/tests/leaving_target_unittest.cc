// Targets whose answers say that they leave, over loopback.
#include <atomic>
#include <chrono>
#include <string>

#include <catch2/catch.hpp>

#include "route_interface/tests/route_path_fixture.h"

namespace burdocklock::route_interface {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kLeaving[] = "X-Leaving: 1\r\n";
constexpr char kNotAdmitted[] = "X-Admitted: no\r\n";
constexpr int kCalls = 20;

struct leaving_target_fixture : route_path_fixture {
  std::string status = "200 OK";
  std::string fields;
  app::fake_target leaver{[this](const net::http_request& request) {
    return app::fake_answer{
        .bytes = BuildResponse(request, status, "leaver", fields)};
  }};
  app::fake_target other{[](const net::http_request& request) {
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "other")};
  }};

  leaving_target_fixture() {
    Replace(1);
    Announce("leaver", leaver.address());
    REQUIRE(BecomesServed());
  }
  void AddOther() {
    Announce("other", other.address());
    REQUIRE(Until([&] { return CallRoute("/stock/1").body == "other"; }));
  }
  // Control hosts may answer late on a busy machine.
  void AnnounceReadyAgain() {
    REQUIRE(Until([&] {
      return Command(http::verb::post, "/v1/targets/announce", kTargetToken,
                     Announcement("leaver", leaver.address()).dump())
                 .status == 200;
    }));
  }
  // The answer that says so has been passed on.
  void SayLeaving() {
    fields = kLeaving;
    REQUIRE(Until(
        [&] { return CallRoute("/stock/1").fields["X-Leaving"] == "1"; }));
  }
};

TEST_CASE_METHOD(leaving_target_fixture,
                 "target says in an answer that it leaves: announced as ready "
                 "later: it gets no more calls") {
  AddOther();
  SayLeaving();
  const int before = leaver.requests;
  for (int call = 0; call < kCalls; ++call) {
    AnnounceReadyAgain();
    CHECK(CallRoute("/stock/1").body == "other");
  }
  CHECK(leaver.requests == before);
}

TEST_CASE_METHOD(leaving_target_fixture,
                 "target says in a refusal that it leaves: the call goes to "
                 "another, and no more calls to it") {
  AddOther();
  status = "503 Service Unavailable";
  fields = std::string(kLeaving) + kNotAdmitted;
  const int before = leaver.requests;
  for (int call = 0; call < kCalls; ++call) {
    CHECK(CallRoute("/orders/1").body == "other");
  }
  CHECK(leaver.requests <= before + 1);
}

TEST_CASE_METHOD(leaving_target_fixture,
                 "only target says in an answer that it leaves: calls are "
                 "refused at once as not run") {
  SayLeaving();
  const int before = leaver.requests;
  const auto sent = steady_clock::now();
  const net::http_reply refused = CallRoute("/stock/1");
  CHECK(steady_clock::now() - sent < milliseconds(200));
  CHECK(refused.status == 503);
  CHECK(!refused.fields["Retry-After"].empty());
  CHECK(leaver.requests == before);
}

}  // namespace
}  // namespace burdocklock::route_interface
