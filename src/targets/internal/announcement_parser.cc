// See the header.
#include "targets/announcement_parser.h"

#include <limits>
#include <string>

#include <nlohmann/json.hpp>

namespace burdocklock::targets {

namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxSlots = 1'000'000;

// Reads members of one JSON object and keeps the first problem.
class member_reader {
 public:
  explicit member_reader(const json& object) : object_(object) {}

  std::string String(const char* key) {
    const json* member = Find(key);
    if (member == nullptr || !member->is_string() ||
        member->get_ref<const std::string&>().empty()) {
      Fail(key, "must be a string that is not empty");
      return {};
    }
    return member->get<std::string>();
  }

  std::uint64_t Unsigned(const char* key,
                         std::uint64_t min,
                         std::uint64_t max) {
    const json* member = Find(key);
    if (member == nullptr || !member->is_number_unsigned()) {
      Fail(key, "must be an integer that is not negative");
      return min;
    }
    const auto value = member->get<std::uint64_t>();
    if (value < min || value > max) {
      Fail(key, "is out of range");
      return min;
    }
    return value;
  }

  double Fraction(const char* key) {
    const json* member = Find(key);
    if (member == nullptr || !member->is_number()) {
      Fail(key, "must be a number");
      return 0;
    }
    return member->get<double>();
  }

  const json* Find(const char* key) const {
    const auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
  }

  void Fail(const char* key, const char* problem) {
    if (problem_.empty()) {
      problem_ = std::string(key) + ": " + problem;
    }
  }

  [[nodiscard]] const std::string& problem() const { return problem_; }

 private:
  const json& object_;
  std::string problem_;
};

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
  const json* models = reader.Find("models");
  if (models == nullptr || !models->is_array() || models->empty()) {
    reader.Fail("models", "must name at least one model");
    return;
  }
  for (const json& model : *models) {
    if (!model.is_string()) {
      reader.Fail("models", "must hold strings only");
      return;
    }
    out.pools.emplace_back(model.get<std::string>());
  }
}

void ParseLoad(member_reader& reader, announcement& out) {
  const json* load = reader.Find("load");
  if (load == nullptr || load->is_null()) {
    return;
  }
  if (!load->is_object()) {
    reader.Fail("load", "must be an object");
    return;
  }
  constexpr auto kMaxCount = std::numeric_limits<std::uint32_t>::max();
  member_reader members(*load);
  load_report report;
  report.running =
      static_cast<std::uint32_t>(members.Unsigned("running", 0, kMaxCount));
  report.waiting =
      static_cast<std::uint32_t>(members.Unsigned("waiting", 0, kMaxCount));
  report.kv_used = members.Fraction("kv_used");
  report.at_ms =
      members.Unsigned("at_ms", 0, std::numeric_limits<std::int64_t>::max());
  if (!members.problem().empty()) {
    reader.Fail("load", members.problem().c_str());
    return;
  }
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
  const json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return Malformed("body must be a JSON object");
  }
  member_reader reader(parsed);
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
  out.slots =
      static_cast<std::uint32_t>(reader.Unsigned("slots", 1, kMaxSlots));
  out.cold_slots =
      static_cast<std::uint32_t>(reader.Unsigned("cold_slots", 1, out.slots));
  out.fencing = ParseFencing(reader);
  ParseLoad(reader, out);
  if (!reader.problem().empty()) {
    return Malformed(reader.problem());
  }
  return out;
}

}  // namespace burdocklock::targets
