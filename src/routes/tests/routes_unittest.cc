// Validation of routing configurations and lookups in their index.
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "routes/configuration_checks.h"
#include "routes/route_index.h"

namespace burdocklock::routes {
namespace {

using std::chrono::milliseconds;

struct configuration_fixture {
  configuration tested = Valid();

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
    valid.access =
        keyed_access{{{.customer = customer_id("a"), .api_keys = {"k1", "k2"}},
                      {.customer = customer_id("b"), .api_keys = {"k3"}}}};
    return valid;
  }
  std::vector<route_customer>& Customers() {
    return std::get<keyed_access>(tested.access).customers;
  }
  bool Passes() const { return Check(tested).has_value(); }
  std::string MatchedRouteName(const std::string& host,
                               const std::string& path) const {
    const route_index index(tested);
    const route* found = index.Match(host, path);
    return found == nullptr ? "none" : found->name;
  }
};

TEST_CASE_METHOD(configuration_fixture, "configuration: valid: passes") {
  CHECK(Passes());
}

// Guards against docs/incidents/027: such a name ended the router at the
// customer's first call.
TEST_CASE_METHOD(
    configuration_fixture,
    "configuration: customer's name longer than header fields: fails") {
  constexpr std::size_t kLongest = 65'533;
  Customers()[0].customer = customer_id(std::string(kLongest, 'a'));
  CHECK(Passes());
  Customers()[0].customer = customer_id(std::string(kLongest + 1, 'a'));
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: route of an unknown service: fails") {
  tested.routes[1].services[0].service = pool_id("nobody");
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: same host name and prefix twice: fails") {
  tested.routes[1].path_prefix = "/";
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: weights sum to zero: fails") {
  tested.routes[1].services = {{.service = pool_id("desk"), .weight = 0},
                               {.service = pool_id("pool"), .weight = 0}};
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: timeout of zero: fails") {
  tested.routes[2].timeout = milliseconds(0);
  CHECK_FALSE(Passes());
}

TEST_CASE_METHOD(configuration_fixture,
                 "configuration: key shared by two customers: fails") {
  Customers()[1].api_keys.emplace_back("k2");
  CHECK_FALSE(Passes());
}

// Guards against docs/incidents/030: a call without a key was served as the
// customer that an empty key was listed for.
TEST_CASE_METHOD(configuration_fixture,
                 "configuration: empty key or customer's name: refused if new, "
                 "never accepted if stored") {
  CHECK(CheckNew(tested).has_value());
  Customers()[0].api_keys.emplace_back();
  CHECK_FALSE(CheckNew(tested).has_value());
  CHECK(Passes());
  CHECK(route_index(tested).FindByKey("") == nullptr);
  CHECK(route_index(tested).key_count() == 3);

  tested = Valid();
  Customers()[0].customer = customer_id();
  CHECK_FALSE(CheckNew(tested).has_value());
  CHECK(Passes());
  CHECK(route_index(tested).FindByKey("k1") == nullptr);
  CHECK(route_index(tested).FindByKey("k3") != nullptr);
}

TEST_CASE_METHOD(configuration_fixture,
                 "route index: nested prefixes: the longest one matches") {
  CHECK(MatchedRouteName("desk.example", "/orders/returns/7") == "returns");
  CHECK(MatchedRouteName("desk.example", "/orders/7?x=/orders/returns/") ==
        "orders");
  CHECK(MatchedRouteName("DESK.example:80", "/orders") == "all");
  CHECK(MatchedRouteName("other.example", "/orders/7") == "none");
  CHECK(MatchedRouteName("desk.example", "*") == "none");
}

TEST_CASE_METHOD(configuration_fixture,
                 "route index: key: finds the customer that owns it") {
  const route_index index(tested);
  REQUIRE(index.FindByKey("k2") != nullptr);
  CHECK(index.FindByKey("k2")->customer == customer_id("a"));
  CHECK(index.FindByKey("") == nullptr);
  CHECK(index.NeedsKey(index.contents().routes[0]));
}

// Guards against docs/incidents/029: no customers read as no need for a key.
TEST_CASE_METHOD(configuration_fixture,
                 "route index: no customers: keys are needed and none is "
                 "found, but for anonymous routes") {
  tested.access = keyed_access{};
  tested.routes[1].anonymous = true;
  CHECK(Passes());
  const route_index index(tested);
  CHECK(index.NeedsKey(index.contents().routes[0]));
  CHECK_FALSE(index.NeedsKey(index.contents().routes[1]));
  CHECK(index.FindByKey("k1") == nullptr);
}

TEST_CASE_METHOD(configuration_fixture,
                 "route index: open access: no key is needed or found") {
  tested.access = open_access{};
  CHECK(Passes());
  const route_index index(tested);
  CHECK_FALSE(index.NeedsKey(index.contents().routes[0]));
  CHECK_FALSE(index.needs_keys());
  CHECK(index.FindByKey("k1") == nullptr);
}

TEST_CASE_METHOD(configuration_fixture,
                 "route index: keys of all customers: counted; whether keys "
                 "are needed is told beside") {
  const route_index keyed(tested);
  CHECK(keyed.key_count() == 3);
  CHECK(keyed.needs_keys());
  const route_index closed{configuration()};
  CHECK(closed.key_count() == 0);
  CHECK(closed.needs_keys());
}

TEST_CASE_METHOD(configuration_fixture,
                 "weights: any hash: calls are distributed by weight") {
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
