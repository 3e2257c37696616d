// Parses and validates the JSON announcements that targets send.
#include "targets/announcement_parser.h"

#include <cstddef>
#include <limits>
#include <stdexcept>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/codec/bounded_parse.h"
#include "framework/codec/member_reader.h"
#include "targets/announcement_checks.h"

namespace burdocklock::targets {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxVersionLength = 128;
constexpr std::uint64_t kMaxColdMilliseconds =
    std::chrono::milliseconds(kMaxColdFor).count();

target_state ParseState(member_reader& reader) {
  const std::string name = reader.String("state");
  if (name == "starting") {
    return target_state::kStarting;
  }
  if (name == "ready") {
    return target_state::kReady;
  }
  if (name != "leaving") {
    reader.Fail("state", "must be starting, ready or leaving");
  }
  return target_state::kLeaving;
}

software_version ParseVersion(member_reader& reader) {
  std::string version = reader.String("version");
  if (version.size() > kMaxVersionLength) {
    reader.Fail("version", "is too long");
  }
  return software_version(std::move(version));
}

fencing_support ParseFencing(member_reader& reader) {
  if (reader.Find("fencing") == nullptr) {
    return fencing_support::kIgnores;
  }
  const std::string name = reader.String("fencing");
  if (name == "checks") {
    return fencing_support::kChecks;
  }
  if (name != "ignores") {
    reader.Fail("fencing", "must be checks or ignores");
  }
  return fencing_support::kIgnores;
}

void ParsePools(member_reader& reader, announcement& out) {
  const std::string kind = reader.String("kind");
  if (kind == "service") {
    out.kind = target_kind::kService;
    out.pools.emplace_back(reader.String("service"));
    return;
  }
  if (kind != "engine") {
    reader.Fail("kind", "must be engine or service");
    return;
  }
  for (std::string& model : reader.Strings("models")) {
    out.pools.emplace_back(std::move(model));
  }
  if (out.pools.empty()) {
    reader.Fail("models", "must name at least one model");
  }
}

void ParseLoad(member_reader& reader, std::string& problem, announcement& out) {
  const json* load = reader.Find("load");
  if (load == nullptr || load->is_null()) {
    return;
  }
  constexpr auto kMaxCount = std::numeric_limits<std::uint32_t>::max();
  member_reader members(*load, "load", problem);
  load_report report;
  report.running =
      static_cast<std::uint32_t>(members.Unsigned("running", 0, kMaxCount));
  report.waiting =
      static_cast<std::uint32_t>(members.Unsigned("waiting", 0, kMaxCount));
  report.kv_used = members.Number("kv_used");
  report.at_ms =
      members.Unsigned("at_ms", 0, std::numeric_limits<std::int64_t>::max());
  out.load = report;
}

error Malformed(std::string detail) {
  return error{.code = error_code::kMalformed,
               .step = "parse announcement",
               .peer = {},
               .detail = std::move(detail)};
}

}  // namespace

result<announcement> ParseAnnouncement(std::string_view body) {
  const json parsed = ParseTextOrDiscard(body);
  std::string problem;
  member_reader reader(parsed, "", problem);
  announcement out;
  out.target = target_id(reader.String("target"));
  out.life = incarnation(reader.Unsigned(
      "incarnation", 0, std::numeric_limits<std::int64_t>::max()));
  out.data_centre = data_centre_id(reader.String("data_centre"));
  ParsePools(reader, out);
  const std::optional<endpoint> address =
      ParseEndpoint(reader.String("address"));
  if (!address || address->port == 0) {
    reader.Fail("address", "must be \"ip:port\"");
  }
  out.address = address.value_or(endpoint{});
  out.state = ParseState(reader);
  if (reader.Find("version") != nullptr) {
    out.version = ParseVersion(reader);
  }
  out.slots =
      static_cast<std::uint32_t>(reader.Unsigned("slots", 1, kMaxSlots));
  out.cold_slots =
      static_cast<std::uint32_t>(reader.Unsigned("cold_slots", 1, out.slots));
  out.fencing = ParseFencing(reader);
  ParseLoad(reader, problem, out);
  out.sequence = reader.UnsignedOr("sequence", 0, 0, kLastSequence - 1);
  if (reader.Find("cold_for_ms") != nullptr) {
    out.cold_for = std::chrono::milliseconds(
        reader.Unsigned("cold_for_ms", 0, kMaxColdMilliseconds));
  }
  if (!problem.empty()) {
    return Malformed(problem);
  }
  try {
    Check(out);
  } catch (const std::out_of_range& odd) {
    return Malformed(std::string(odd.what()) + ": is out of range");
  }
  return out;
}

}  // namespace burdocklock::targets
