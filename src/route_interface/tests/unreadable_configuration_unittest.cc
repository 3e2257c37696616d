// A router whose software cannot read the configuration in force.
#include <string>
#include <string_view>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "route_interface/tests/route_path_fixture.h"

namespace burdocklock::route_interface {
namespace {

constexpr std::uint64_t kUnreadableVersion = 2;

// Reads all versions but one, as if that one had members of later software.
class earlier_reader : public routes::i_configuration_reader {
 public:
  [[nodiscard]] result<routes::configuration> Read(
      std::string_view document) const override {
    auto read = reader_.Read(document);
    if (read && read.value().version.value() == kUnreadableVersion) {
      return error{.code = error_code::kMalformed,
                   .step = "read configuration",
                   .peer = {},
                   .detail = "later: is not known"};
    }
    return read;
  }

 private:
  configuration_document reader_;
};

class earlier_adapter : public route_adapter {
 public:
  earlier_adapter() : route_adapter({}) {}

  [[nodiscard]] const routes::i_configuration_reader& configurations()
      const override {
    return reader_;
  }

 private:
  earlier_reader reader_;
};

// A base, so that it outlives the router.
struct earlier_software {
  earlier_adapter earlier;
};

struct earlier_router_fixture : earlier_software, route_path_fixture {
  app::fake_target target{[](const net::http_request& request) {
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "b")};
  }};

  earlier_router_fixture() {
    StopRouter();
    router_adapter = &earlier;
    StartRouter();
  }
};

// Guards against docs/incidents/031: the router went on with the version
// before, and so served keys and routes that were not in force any more.
TEST_CASE_METHOD(earlier_router_fixture,
                 "unreadable: version in force cannot be read: nothing of the "
                 "one before is served, and the router is not ready") {
  Replace(1);
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  Replace(kUnreadableVersion);
  CHECK(Until([&] {
    Announce("t", target.address());
    return CallRoute("/stock/1").status == 503;
  }));
  CHECK(CallRoute("/stock/1").fields.count(http::field::retry_after) == 1);
  CHECK(Readiness("/readyz") == 503);
  Replace(kUnreadableVersion + 1);
  Announce("t", target.address());
  CHECK(BecomesServed());
  CHECK(Readiness("/readyz") == 200);
}

}  // namespace
}  // namespace burdocklock::route_interface
