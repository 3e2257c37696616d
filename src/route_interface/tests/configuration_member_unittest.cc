// Absent, null, empty and odd members of the native configuration document.
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "route_interface/configuration_document.h"
#include "routes/tests/member_table.h"

namespace burdocklock::route_interface {
namespace {

using nlohmann::json;
using routes::if_empty;
using routes::Refused;

struct member_fixture {
  configuration_document reader;
  json whole = json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "r", "host_name": "a.example", "path_prefix": "/x/",
       "kind": "stream", "timeout_ms": 800, "objective_ms": 300,
       "pause_objective_ms": 100, "rank": 1, "max_attempts": 2,
       "anonymous": true, "resumable": true,
       "services": [{"service": "s", "weight": 9},
                    {"service": "s2", "weight": 1}]}],
    "services": [
      {"name": "s", "health_path": "/h", "max_connections": 3,
       "cold_ms": 3000, "cold_requests_per_s": 1.5, "memory_tokens": 5,
       "copies_prompts": true},
      {"name": "s2"}],
    "customers": [{"name": "c", "keys": ["k"], "rank": 2}],
    "limits": {"max_header_bytes": 8192, "max_body_bytes": 1048576,
               "read_timeout_ms": 3000, "idle_timeout_ms": 9000},
    "engine_tokens_per_s": 290000.5})");
};

// Guards against docs/incidents/029: an absence must not grant anything that
// the reference does not name; docs/design/014 says what each of these means.
TEST_CASE_METHOD(member_fixture,
                 "document: each member absent, null, empty or of another "
                 "kind: read as stated, or refused") {
  CheckMembers(reader, whole,
               {{"/version", Refused(), if_empty::kRefused},
                {"/routes", json::array()},
                {"/routes/0/name", Refused(), if_empty::kRefused},
                {"/routes/0/host_name", Refused(), if_empty::kRefused},
                {"/routes/0/path_prefix", Refused(), if_empty::kRefused},
                {"/routes/0/kind", Refused(), if_empty::kRefused},
                {"/routes/0/timeout_ms", Refused(), if_empty::kRefused},
                {"/routes/0/objective_ms", 0},
                {"/routes/0/pause_objective_ms", 0},
                {"/routes/0/rank", 0},
                {"/routes/0/max_attempts", 1, if_empty::kRefused},
                {"/routes/0/anonymous", false},
                {"/routes/0/resumable", false},
                {"/routes/0/services", Refused(), if_empty::kRefused},
                {"/routes/0/services/0/service", Refused(), if_empty::kRefused},
                {"/routes/0/services/0/weight", 1},
                {"/services", Refused(), if_empty::kRefused},
                {"/services/0/name", Refused(), if_empty::kRefused},
                {"/services/0/health_path", "", if_empty::kRefused},
                {"/services/0/max_connections", 0},
                {"/services/0/cold_ms", 0},
                {"/services/0/cold_requests_per_s", 0},
                {"/services/0/memory_tokens", 0},
                {"/services/0/copies_prompts", false},
                {"/customers/0/name", Refused(), if_empty::kRefused},
                {"/customers/0/keys", json::array()},
                {"/customers/0/keys/0", json(), if_empty::kRefused},
                {"/customers/0/rank", 0},
                {"/limits", json::object()},
                {"/limits/max_header_bytes", 16384, if_empty::kRefused},
                {"/limits/max_body_bytes", 4194304, if_empty::kRefused},
                {"/limits/read_timeout_ms", 15000},
                {"/limits/idle_timeout_ms", 60000},
                {"/engine_tokens_per_s", 0}},
               "/customers");
}

TEST_CASE_METHOD(member_fixture,
                 "document: customers absent, empty or odd: open, closed, "
                 "refused") {
  routes::CheckAccess(reader, whole, "/customers");
}

}  // namespace
}  // namespace burdocklock::route_interface
