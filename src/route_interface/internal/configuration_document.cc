#include "route_interface/configuration_document.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "framework/codec/bounded_parse.h"
#include "framework/codec/member_reader.h"

namespace burdocklock::route_interface {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kMaxMilliseconds = 24ULL * 3600 * 1000;
constexpr std::uint32_t kMaxCount = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

std::uint32_t ReadCount(member_reader& reader,
                        const char* key,
                        std::uint32_t fallback,
                        std::uint32_t min = 0) {
  return static_cast<std::uint32_t>(
      reader.UnsignedOr(key, fallback, min, kMaxCount));
}

milliseconds ReadMilliseconds(member_reader& reader,
                              const char* key,
                              milliseconds fallback = milliseconds(0)) {
  return milliseconds(reader.UnsignedOr(
      key, static_cast<std::uint64_t>(fallback.count()), 0, kMaxMilliseconds));
}

routes::route_kind ReadKind(member_reader& reader) {
  const std::string kind = reader.String("kind");
  if (kind == "idempotent") {
    return routes::route_kind::kIdempotent;
  }
  if (kind == "stream") {
    return routes::route_kind::kStreaming;
  }
  if (kind != "at_most_once") {
    reader.Fail("kind", "must be idempotent, at_most_once or stream");
  }
  return routes::route_kind::kNonIdempotent;
}

routes::route ReadRoute(member_reader& reader) {
  routes::route route{
      .name = reader.String("name"),
      .host_name = reader.String("host_name"),
      .path_prefix = reader.String("path_prefix"),
      .kind = ReadKind(reader),
      .timeout = ReadMilliseconds(reader, "timeout_ms"),
      .latency_objective = ReadMilliseconds(reader, "objective_ms"),
      .pause_objective = ReadMilliseconds(reader, "pause_objective_ms"),
      .rank = ReadCount(reader, "rank", 0),
      .max_attempts = ReadCount(reader, "max_attempts", 1, 1),
      .anonymous = reader.FlagOr("anonymous", false),
      .resumable = reader.FlagOr("resumable", false)};
  route.has_prompt = route.kind == routes::route_kind::kStreaming;
  for (member_reader& part : reader.Objects("services")) {
    route.services.push_back({.service = pool_id(part.String("service")),
                              .weight = ReadCount(part, "weight", 1)});
    part.RejectOthers();
  }
  reader.RejectOthers();
  return route;
}

routes::service_terms ReadService(member_reader& reader) {
  routes::service_terms terms{
      .service = pool_id(reader.String("name")),
      .health_path = reader.StringOr("health_path", {}),
      .max_connections = ReadCount(reader, "max_connections", 0),
      .cold_time = ReadMilliseconds(reader, "cold_ms"),
      .cold_rate = reader.NumberOr("cold_requests_per_s", 0),
      .memory_tokens = reader.UnsignedOr("memory_tokens", 0, 0, kMaxInteger),
      .copies_prompts = reader.FlagOr("copies_prompts", false)};
  reader.RejectOthers();
  return terms;
}

routes::route_customer ReadCustomer(member_reader& reader) {
  routes::route_customer customer{
      .customer = customer_id(reader.String("name")),
      .api_keys = reader.Strings("keys"),
      .rank = ReadCount(reader, "rank", 0)};
  reader.RejectOthers();
  return customer;
}

// Only a document without the list is open: with an empty one no key is valid.
routes::caller_access ReadAccess(member_reader& reader) {
  if (reader.Find("customers") == nullptr) {
    return routes::open_access{};
  }
  routes::keyed_access access;
  for (member_reader& customer : reader.Objects("customers")) {
    access.customers.push_back(ReadCustomer(customer));
  }
  return access;
}

routes::caller_limits ReadLimits(const json& value, std::string& problem) {
  member_reader reader(value, "limits", problem);
  const routes::caller_limits defaults;
  routes::caller_limits limits{
      .max_header_bytes =
          ReadCount(reader, "max_header_bytes", defaults.max_header_bytes, 1),
      .max_body_bytes =
          ReadCount(reader, "max_body_bytes", defaults.max_body_bytes, 1),
      .read_timeout =
          ReadMilliseconds(reader, "read_timeout_ms", defaults.read_timeout),
      .idle_timeout =
          ReadMilliseconds(reader, "idle_timeout_ms", defaults.idle_timeout)};
  reader.RejectOthers();
  return limits;
}

routes::configuration ReadDocument(const json& document, std::string& problem) {
  member_reader reader(document, "", problem);
  routes::configuration configuration{
      .version = routes::configuration_version(
          reader.Unsigned("version", 1, kMaxInteger)),
      .engine_throughput = reader.NumberOr("engine_tokens_per_s", 0)};
  for (member_reader& route : reader.Objects("routes")) {
    configuration.routes.push_back(ReadRoute(route));
  }
  for (member_reader& service : reader.Objects("services")) {
    configuration.services.push_back(ReadService(service));
  }
  configuration.access = ReadAccess(reader);
  if (const json* limits = reader.Find("limits")) {
    configuration.limits = ReadLimits(*limits, problem);
  }
  reader.RejectOthers();
  return configuration;
}

}  // namespace

result<routes::configuration> configuration_document::Read(
    std::string_view document) const {
  const json parsed = ParseTextOrDiscard(document);
  std::string problem;
  routes::configuration configuration = ReadDocument(parsed, problem);
  if (!problem.empty()) {
    return error{.code = error_code::kMalformed,
                 .step = "read configuration",
                 .peer = {},
                 .detail = std::move(problem)};
  }
  return configuration;
}

}  // namespace burdocklock::route_interface
