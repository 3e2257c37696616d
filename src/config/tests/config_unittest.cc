// Parsing of settings and sheets: valid files, invalid files and round trips.
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "config/config_reader.h"
#include "config/key_hashing.h"
#include "config/sheet_index.h"

namespace burdocklock::config {
namespace {

const std::string kHash(64, 'a');

struct settings_fixture {
  std::string text =
      "daemon = \"shah-alam-1\"\n"
      "data_centre = \"shah-alam\"\n"
      "region = \"klang-valley\"\n"
      "sheet = \"sheet.toml\"\n";

  error ParseFailure(const std::string& added) {
    const auto parsed = ParseSettings(text + added, "etc/daemon.toml");
    REQUIRE(!parsed.has_value());
    CHECK(parsed.error().peer == "etc/daemon.toml");
    return parsed.error();
  }
};

TEST_CASE_METHOD(settings_fixture,
                 "settings: only required keys: defaults and relative sheet") {
  const auto parsed = ParseSettings(text, "etc/daemon.toml");
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().sheet_path == "etc/sheet.toml");
  CHECK(parsed.value().limits == limit_settings{});
}

TEST_CASE_METHOD(settings_fixture,
                 "settings: invalid: error names file, line and key") {
  CHECK(ParseFailure("colour = 1\n").detail == "line 5: colour: unknown key");
  CHECK(ParseFailure("[limits]\ntraffic_threads = \"two\"\n").detail ==
        "line 6: limits.traffic_threads: must be an integer");
  CHECK(ParseFailure("[limits]\ntraffic_threads = 0\n").detail ==
        "line 6: limits.traffic_threads: must be between 1 and 64");
  CHECK(ParseFailure("[listen]\ncallers = \"nowhere\"\n")
            .detail.starts_with("line 6: listen.callers"));
  CHECK(ParseFailure("[tokens]\ntargets_sha256 = [\"xyz\"]\n")
            .detail.starts_with("line 6: tokens.targets_sha256"));
  CHECK(ParseFailure("[retries]\nbudget_ratio = 1.5\n")
            .detail.starts_with("line 6: retries.budget_ratio"));
  CHECK(ParseFailure("[rollouts]\nexposure_ratio = 1.5\n")
            .detail.starts_with("line 6: rollouts.exposure_ratio"));
  CHECK(
      ParseFailure("roles = [\"king\"]\n").detail.starts_with("line 5: roles"));
  CHECK(ParseFailure("[log\n").code == error_code::kMalformed);
}

TEST_CASE_METHOD(
    settings_fixture,
    "settings: no, one or both bounds of rollouts: off, defaults") {
  const auto read = [&](const std::string& added) {
    return ParseSettings(text + added, "etc/daemon.toml").value().rollouts;
  };
  CHECK_FALSE(read("").enabled);
  CHECK(read("[rollouts]\nexposure_tolerance = 50\n") ==
        rollout_settings{.enabled = true, .exposure_tolerance = 50});
  CHECK(read("[rollouts]\nexposure_ratio = 0.1\nexposure_tolerance = 50\n") ==
        rollout_settings{
            .enabled = true, .exposure_ratio = 0.1, .exposure_tolerance = 50});
}

// Guards against docs/incidents/030: the hash of a variable without a value let
// in whoever sent no token.
TEST_CASE_METHOD(settings_fixture,
                 "settings: hash of an empty token: refused, and never "
                 "accepted") {
  const std::string hash = FormatKeyHash(HashKey(""));
  for (const std::string key : {"targets_sha256", "operators_sha256"}) {
    CHECK(ParseFailure("[tokens]\n" + key + " = [\"" + hash + "\"]\n").detail ==
          "line 6: tokens." + key + ": must not hold the hash of no token");
  }
  const std::vector<key_hash> accepted = {HashKey(""), HashKey("a")};
  CHECK_FALSE(IsAcceptedSecret("", accepted));
  CHECK(IsAcceptedSecret("a", accepted));
  CHECK_FALSE(IsAcceptedSecret("b", accepted));
  CHECK_FALSE(IsAcceptedSecret("a", {}));
}

TEST_CASE("settings: missing file: unreadable") {
  const auto parsed = ReadSettings("/nonexistent/daemon.toml");
  REQUIRE(!parsed.has_value());
  CHECK(parsed.error().code == error_code::kUnreadable);
}

TEST_CASE("settings: arbitrary bytes: rejected without a crash") {
  rc::prop("no crash", [](const std::string& bytes) {
    const auto parsed = ParseSettings(bytes, "f");
    RC_ASSERT(!parsed.has_value());
  });
}

struct sheet_fixture {
  std::string text =
      "[[data_centres]]\nid = \"cheras\"\nregion = \"klang-valley\"\n"
      "[[models]]\nid = \"lamp-llm\"\n"
      "[[services]]\nid = \"spares-desk\"\n"
      "[[services.non_repeatable]]\nmethods = [\"POST\"]\npath = \"/orders\"\n";

  static std::string Customer(const std::string& id,
                              const std::string& share,
                              const std::string& more = "") {
    return "[[customers]]\nid = \"" + id + "\"\nshare = " + share +
           "\nhome_region = \"klang-valley\"\n" + more;
  }
  std::string ParseFailure(const std::string& added) {
    const auto parsed = ParseSheet(text + added, "sheet.toml");
    REQUIRE(!parsed.has_value());
    return parsed.error().detail;
  }
};

TEST_CASE_METHOD(sheet_fixture, "sheet: invalid: error names line and key") {
  CHECK(ParseFailure(Customer("a", "1") + Customer("a", "1")) ==
        "line 16: customers.id: duplicate \"a\"");
  CHECK(ParseFailure(Customer("a", "-1")) ==
        "line 13: customers.share: must be positive");
  CHECK(ParseFailure(Customer("a", "1", "models = [\"none\"]\n")) ==
        "line 15: customers.models: \"none\" is not in the sheet");
  CHECK(ParseFailure(Customer("a", "1", "colour = 1\n")) ==
        "line 15: customers.colour: unknown key");
  CHECK(ParseFailure("[[models]]\nid = \"spares-desk\"\n")
            .ends_with("duplicate \"spares-desk\""));
  CHECK(ParseFailure("[[data_centres]]\nid = \"x\"\nregion = \"r\"\n"
                     "[[data_centres.planned_outages]]\n"
                     "from = 2027-01-01T00:00:00Z\nto = 2026-01-01T00:00:00Z\n")
            .ends_with("to: must be later than from"));
  CHECK(ParseFailure("[[data_centres]]\nid = \"x\"\nregion = \"r\"\n"
                     "[[data_centres.planned_outages]]\n"
                     "from = 2027-01-01T00:00:00\nto = 2027-02-01T00:00:00Z\n")
            .ends_with("from: must carry an offset from UTC"));
}

TEST_CASE_METHOD(sheet_fixture,
                 "sheet: key shared by two customers: rejected") {
  const std::string key = "api_keys_sha256 = [\"" + kHash + "\"]\n";
  CHECK(ParseFailure(Customer("a", "1", key) + Customer("b", "1", key))
            .ends_with("key is used twice"));
}

TEST_CASE_METHOD(sheet_fixture, "sheet: outage with offset: converted to UTC") {
  const auto parsed = ParseSheet(
      "[[data_centres]]\nid = \"x\"\nregion = \"r\"\n"
      "[[data_centres.planned_outages]]\n"
      "from = 2027-01-01T08:00:00+08:00\nto = 2027-01-01T09:00:00+08:00\n",
      "sheet.toml");
  REQUIRE(parsed.has_value());
  CHECK(parsed.value().data_centres[0].planned_outages[0].from ==
        std::chrono::sys_days(std::chrono::year(2027) / 1 / 1));
}

TEST_CASE("sheet: formatted and parsed again: equal") {
  rc::prop("round trip", [] {
    sheet original;
    original.data_centres.push_back(
        {.id = data_centre_id("d"), .region = region_id("r")});
    for (const int start : *rc::gen::container<std::vector<int>>(
             rc::gen::inRange(0, 1'000'000'000))) {
      const wall_time from{std::chrono::seconds(start)};
      original.data_centres[0].planned_outages.push_back(
          {.from = from, .to = from + std::chrono::hours(1)});
    }
    original.models.push_back({.id = pool_id("m")});
    original.services.push_back(
        {.id = pool_id("s"),
         .non_repeatable = {{.methods = {"POST"}, .path_prefix = "/a"}},
         .repeatable = {{.methods = {"PUT", "POST"}, .path_prefix = "/b"}}});
    const auto count = *rc::gen::inRange(0, 20);
    for (int i = 0; i < count; ++i) {
      customer customer{.id = customer_id("c" + std::to_string(i)),
                        .share = *rc::gen::inRange(1, 1000) / 8.0,
                        .home_region = region_id("r")};
      customer.api_keys.push_back(HashKey(customer.id.value()));
      if (*rc::gen::arbitrary<bool>()) {
        customer.models.emplace_back("m");
        customer.max_queued = *rc::gen::inRange(1U, 100U);
      }
      original.customers.push_back(std::move(customer));
    }
    const auto read = ParseSheet(FormatSheet(original), "f");
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value() == original);
  });
}

TEST_CASE_METHOD(sheet_fixture,
                 "sheet index: keys and permissions: found by hash only") {
  const std::string keys = "api_keys_sha256 = [\"" +
                           FormatKeyHash(HashKey("secret")) +
                           "\"]\nmodels = [\"lamp-llm\"]\n";
  const auto parsed = ParseSheet(text + Customer("a", "1", keys), "f");
  REQUIRE(parsed.has_value());
  const sheet_index index(parsed.value());
  REQUIRE(index.FindByKey("secret") != nullptr);
  CHECK(index.FindByKey("Secret") == nullptr);
  CHECK(index.FindByKey("") == nullptr);
  CHECK(sheet_index::MayUseModel(*index.FindByKey("secret"),
                                 pool_id("lamp-llm")));
  CHECK(!sheet_index::MayUseService(*index.FindByKey("secret"),
                                    pool_id("spares-desk")));
}

// Guards against docs/incidents/030: the list of models was told without a key.
TEST_CASE("sheet: hash of an empty key: refused, and never accepted") {
  const std::string hash = FormatKeyHash(HashKey(""));
  const auto parsed =
      ParseSheet("[[customers]]\nid = \"c\"\nshare = 1\napi_keys_sha256 = [\"" +
                     hash + "\"]\n",
                 "sheet.toml");
  REQUIRE_FALSE(parsed.has_value());
  CHECK(parsed.error().detail ==
        "line 4: customers.api_keys_sha256: must not hold the hash of no key");
  sheet sheet;
  sheet.customers = {{.id = customer_id("c"), .api_keys = {HashKey("")}}};
  CHECK(sheet_index(sheet).FindByKey("") == nullptr);
}

TEST_CASE("service rules: method and path: decide what may be retried") {
  const service service{
      .id = pool_id("s"),
      .non_repeatable = {{.methods = {"GET"}, .path_prefix = "/orders"}},
      .repeatable = {{.methods = {"POST"}, .path_prefix = "/search"}}};
  CHECK(IsNonRepeatable(service, "POST", "/holds"));
  CHECK(IsNonRepeatable(service, "GET", "/orders/7"));
  CHECK(!IsNonRepeatable(service, "GET", "/orders-archive"));
  CHECK(!IsNonRepeatable(service, "POST", "/search?q=1"));
  CHECK(!IsNonRepeatable(service, "PUT", "/holds/7"));
}

}  // namespace
}  // namespace burdocklock::config
