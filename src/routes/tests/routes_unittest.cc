// Checks of configurations and look-ups on them.
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "routes/configuration_checks.h"
#include "routes/route_index.h"

namespace burdocklock::routes {
namespace {

using std::chrono::milliseconds;

struct configuration_fixture {
  configuration subject = Valid();

  static route Route(const std::string& name, const std::string& prefix) {
    return {.name = name,
            .host_name = "desk.example",
            .path_prefix = prefix,
            .timeout = milliseconds(800),
            .services = {{.service = pool_id("desk"), .weight = 1}}};
  }
  static configuration Valid() {
    configuration valid;
    valid.version = configuration_version(3);
    valid.routes = {Route("all", "/"), Route("orders", "/orders/"),
                    Route("returns", "/orders/returns/")};
    valid.services = {{.service = pool_id("desk")},
                      {.service = pool_id("pool")}};
    valid.customers = {{.customer = customer_id("a"), .api_keys = {"k1", "k2"}},
                       {.customer = customer_id("b"), .api_keys = {"k3"}}};
    return valid;
  }
  bool Passes() const { return Check(subject).has_value(); }
  std::string Matched(const std::string& host, const std::string& path) const {
    const route_index table(subject);
    const route* found = table.Match(host, path);
    return found == nullptr ? "none" : found->name;
  }
};

TEST_CASE_METHOD(configuration_fixture, "configuration: valid: passes") {
  CHECK(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: route of an unknown service: fails") {
  subject.routes[1].services[0].service = pool_id("nobody");
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: same host name and prefix twice: fails") {
  subject.routes[1].path_prefix = "/";
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: weights add up to zero: fails") {
  subject.routes[1].services = {{.service = pool_id("desk"), .weight = 0},
                                {.service = pool_id("pool"), .weight = 0}};
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: timeout of zero: fails") {
  subject.routes[2].timeout = milliseconds(0);
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: key of two customers: fails") {
  subject.customers[1].api_keys.emplace_back("k2");
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "table: nested prefixes: the longest one matches") {
  CHECK(Matched("desk.example", "/orders/returns/7") == "returns");
  CHECK(Matched("desk.example", "/orders/7?x=/orders/returns/") == "orders");
  CHECK(Matched("DESK.example:80", "/orders") == "all");
  CHECK(Matched("other.example", "/orders/7") == "none");
  CHECK(Matched("desk.example", "*") == "none");
}

TEST_CASE_METHOD(configuration_fixture,
                 "table: key: names the customer that holds it") {
  const route_index table(subject);
  REQUIRE(table.FindByKey("k2") != nullptr);
  CHECK(table.FindByKey("k2")->customer == customer_id("a"));
  CHECK(table.FindByKey("") == nullptr);
  CHECK(table.NeedsKey(table.contents().routes[0]));
}

TEST_CASE_METHOD(configuration_fixture,
                 "weights: any hash: share of calls follows the weights") {
  route split = Route("split", "/");
  split.services = {{.service = pool_id("desk"), .weight = 3},
                    {.service = pool_id("pool"), .weight = 1}};
  int desk = 0;
  for (std::uint64_t hash = 0; hash < 400; ++hash) {
    desk += PickService(split, hash) == pool_id("desk") ? 1 : 0;
  }
  CHECK(desk == 300);
}

}  // namespace
}  // namespace burdocklock::routes
