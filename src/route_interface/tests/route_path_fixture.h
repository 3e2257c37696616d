// A control host and a router with the native route interface, and their
// configuration, targets and callers.
#pragma once

#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/tests/fake_target.h"
#include "app/tests/path_fixture.h"
#include "config/key_hashing.h"
#include "route_interface/route_adapter.h"

namespace burdocklock::route_interface {

namespace beast = net::beast;
namespace http = net::http;

using nlohmann::json;

inline constexpr char kOperatorToken[] = "operator-token";
inline constexpr char kTargetToken[] = "target-token";

struct route_path_fixture : app::path_fixture<route_adapter> {
  int sequence = 0;

  explicit route_path_fixture(const app::router_changes& changes = {})
      : path_fixture(
            route_adapter({.operators = {config::HashKey(kOperatorToken)},
                           .targets = {config::HashKey(kTargetToken)}}),
            changes) {}

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
               {"services", {{{"service", "desk"}}}}},
              {{"name", "talk"},
               {"host_name", "desk.example"},
               {"path_prefix", "/talk/"},
               {"kind", "stream"},
               {"timeout_ms", 2000},
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

inline std::string BuildResponse(const net::http_request& request,
                                 const std::string& status,
                                 const std::string& body,
                                 const std::string& fields = "") {
  return "HTTP/1.1 " + status +
         "\r\nX-Request-Id: " + std::string(request["X-Request-Id"]) + "\r\n" +
         fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

}  // namespace burdocklock::route_interface
