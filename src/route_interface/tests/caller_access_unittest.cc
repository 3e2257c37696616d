// Who may call while configurations with and without customers follow one
// another, over loopback.
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "framework/seeded_random.h"
#include "route_interface/tests/route_path_fixture.h"

namespace burdocklock::route_interface {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Within which an acknowledged configuration is in force.
constexpr milliseconds kApplyTime{2000};

// Keys that are accepted; nullopt if none is needed.
using accepted_keys = std::optional<std::set<std::string>>;

// Keeps the lines about configurations; called on the router's threads.
class configuration_log : public i_logger {
 public:
  void Log(const log_record& record) override {
    const std::lock_guard lock(mutex_);
    if (record.event() == "configuration") {
      fields_.clear();
      for (const auto& [key, value] : record.fields()) {
        fields_[key] = value;
      }
    }
    warned_ = record.event() == "no_key_accepted" ||
              (warned_ && record.event() != "configuration");
  }
  // The field of the last line.
  [[nodiscard]] log_value Field(const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto found = fields_.find(key);
    return found == fields_.end() ? log_value() : found->second;
  }
  // Whether a warning followed it.
  [[nodiscard]] bool warned() const {
    const std::lock_guard lock(mutex_);
    return warned_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, log_value> fields_;
  bool warned_ = false;
};

// A base, so that it is there before the router starts.
struct logged {
  configuration_log log;
};

struct caller_access_fixture : logged, route_path_fixture {
  std::string customer_field;
  app::fake_target target{[this](const net::http_request& request) {
    customer_field = std::string(request["X-Customer"]);
    return app::fake_answer{.bytes = BuildResponse(request, "200 OK", "b")};
  }};

  caller_access_fixture() : route_path_fixture({.logger = &log}) {}

  // A configuration with these customers; without the list if there are none.
  static json With(std::uint64_t version,
                   const std::optional<json>& customers) {
    json changed = Configuration(version);
    changed.erase("customers");
    if (customers) {
      changed["customers"] = *customers;
    }
    return changed;
  }
  unsigned Put(const json& configuration) const {
    return Command(http::verb::put, "/v1/configuration", kOperatorToken,
                   configuration.dump())
        .status;
  }
  void Apply(const json& configuration) const {
    REQUIRE(Until([&] { return Put(configuration) == 200; }));
  }
  unsigned StatusOf(const std::string& key) const {
    return CallRoute("/stock/1", key).status;
  }
  unsigned StatusWithoutKey() const {
    net::http_request request(http::verb::get, "/stock/1", 11);
    request.set(http::field::host, "desk.example");
    request.set("X-Customer", "mine");
    return Call(addresses.callers, std::move(request)).status;
  }
  bool BecomesStatus(const std::string& key, unsigned status) const {
    return Until([&] { return StatusOf(key) == status; });
  }
  void ServeFirst() {
    Replace(1);
    Announce("t", target.address());
    REQUIRE(BecomesServed());
  }
  void CheckNobodyIsServed() const {
    CHECK(BecomesStatus("k", 401));
    CHECK(StatusOf("strange") == 401);
    CHECK(StatusWithoutKey() == 401);
  }
  void RestartRouter() {
    StopRouter();
    StartRouter();
    REQUIRE(Until([&] { return StatusOf("k") != 503; }));
  }
  void RestartControl() {
    StopControl();
    control_settings.control.first_start = false;
    StartControl();
  }
};

// Guards against docs/incidents/029: a configuration that took the last
// customer away let every caller in, with any key or none.
TEST_CASE_METHOD(caller_access_fixture,
                 "access: the last customer is taken away: nobody is served, "
                 "also after restarts") {
  ServeFirst();
  CHECK(StatusOf("strange") == 401);
  Apply(With(2, json::array()));
  CheckNobodyIsServed();
  RestartRouter();
  CheckNobodyIsServed();
  RestartControl();
  RestartRouter();
  CheckNobodyIsServed();
}

TEST_CASE_METHOD(caller_access_fixture,
                 "access: no list of customers, then an empty one: keys are "
                 "needed from then on") {
  Apply(With(1, std::nullopt));
  Announce("t", target.address());
  REQUIRE(BecomesServed());
  CHECK(StatusWithoutKey() == 200);
  CHECK(customer_field.empty());
  RestartRouter();
  Announce("t", target.address());
  CHECK(BecomesServed());
  Apply(With(2, json::array()));
  CheckNobodyIsServed();
}

TEST_CASE_METHOD(caller_access_fixture,
                 "access: empty list of customers, then another customer: its "
                 "key is accepted, earlier ones are not") {
  ServeFirst();
  Apply(With(2, json::array()));
  CheckNobodyIsServed();
  Apply(With(3, json::array({{{"name", "d"}, {"keys", {"new"}}}})));
  CHECK(BecomesStatus("new", 200));
  CHECK(customer_field == "d");
  CHECK(StatusOf("k") == 401);
}

TEST_CASE_METHOD(caller_access_fixture,
                 "access: empty list of customers: anonymous routes are "
                 "served, and the list is read back") {
  ServeFirst();
  json closed = With(2, json::array());
  closed["routes"][0]["anonymous"] = true;
  Apply(closed);
  CHECK(BecomesStatus("k", 401));
  CHECK(CallRoute("/orders/1", "strange").status == 200);
  const auto read =
      Command(http::verb::get, "/v1/configuration", kOperatorToken);
  CHECK(json::parse(read.body) == closed);
}

TEST_CASE_METHOD(caller_access_fixture,
                 "access: customer without keys: nobody is served") {
  ServeFirst();
  Apply(With(2, json::array({{{"name", "c"}, {"keys", json::array()}}})));
  CheckNobodyIsServed();
}

// Guards against docs/incidents/030: a call without a key was served as the
// customer with the empty one.
TEST_CASE_METHOD(caller_access_fixture,
                 "access: customer with an empty key: refused, no call without "
                 "a key is served") {
  ServeFirst();
  CHECK(Put(With(2, json::array({{{"name", "c"}, {"keys", {"k", ""}}}}))) ==
        400);
  CHECK(StatusOf("k") == 200);
  CHECK(StatusOf("") == 401);
  CHECK(StatusWithoutKey() == 401);
}

TEST_CASE_METHOD(caller_access_fixture,
                 "access: customers of another kind than a list: refused, the "
                 "version before stays in force") {
  ServeFirst();
  for (const json& odd : {json(), json::object(), json(""), json(0),
                          json(false), json::array({nullptr})}) {
    CAPTURE(odd);
    CHECK(Put(With(2, odd)) == 400);
  }
  CHECK(StatusOf("k") == 200);
  CHECK(StatusOf("strange") == 401);
}

TEST_CASE_METHOD(caller_access_fixture,
                 "access: configuration comes into force: the log says whether "
                 "keys are needed and how many there are") {
  const auto logs = [this](bool needed, std::int64_t keys, bool warned) {
    return Until([&] {
      return log.Field("keys_needed") == log_value(needed) &&
             log.Field("keys") == log_value(keys) && log.warned() == warned;
    });
  };
  Replace(1);
  CHECK(logs(true, 1, false));
  Apply(With(2, json::array()));
  CHECK(logs(true, 0, true));
  Apply(With(3, std::nullopt));
  CHECK(logs(false, 0, false));
}

struct drawn_access_fixture : caller_access_fixture {
  static constexpr std::size_t kKeys = 4;

  static std::string Key(std::size_t number) {
    return "k" + std::to_string(number);
  }
  static bool Accepts(const accepted_keys& accepted, const std::string& key) {
    return !accepted || accepted->contains(key);
  }
  // Draws customers, some of them without keys, and what is accepted then.
  static std::optional<json> DrawCustomers(seeded_random& random,
                                           accepted_keys& accepted) {
    if (random.Below(5) == 0) {
      accepted.reset();
      return std::nullopt;
    }
    accepted.emplace();
    json customers = json::array();
    const std::size_t count = random.Below(4);
    for (std::size_t i = 0; i < count; ++i) {
      customers.push_back(
          {{"name", "c" + std::to_string(i)}, {"keys", json::array()}});
    }
    for (std::size_t i = 0; i < kKeys && !customers.empty(); ++i) {
      if (random.Below(2) == 0) {
        customers[random.Below(customers.size())]["keys"].push_back(Key(i));
        accepted->insert(Key(i));
      }
    }
    return customers;
  }
  // Whether all keys, and one that no configuration holds, get what they must.
  bool IsInForce(const accepted_keys& accepted) const {
    const auto expected = [&](const std::string& key) {
      return Accepts(accepted, key) ? 200U : 401U;
    };
    for (std::size_t i = 0; i < kKeys; ++i) {
      if (StatusOf(Key(i)) != expected(Key(i))) {
        return false;
      }
    }
    return StatusOf("strange") == expected("strange");
  }
};

TEST_CASE_METHOD(drawn_access_fixture,
                 "access: two drawn configurations in turn: no key that only "
                 "the older held is served once the newer must be in force") {
  constexpr std::uint64_t kVersions = 30;
  const std::uint32_t seed = GENERATE(1, 2);
  seeded_random random(seed);
  ServeFirst();
  for (std::uint64_t version = 2; version < 2 + kVersions; ++version) {
    accepted_keys accepted;
    const json configuration = With(version, DrawCustomers(random, accepted));
    CAPTURE(seed, configuration.dump());
    Apply(configuration);
    Announce("t", target.address());
    const auto in_force_by = steady_clock::now() + kApplyTime;
    while (steady_clock::now() < in_force_by && !IsInForce(accepted)) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    REQUIRE(IsInForce(accepted));
    CHECK(StatusWithoutKey() == (accepted ? 401 : 200));
  }
}

}  // namespace
}  // namespace burdocklock::route_interface
