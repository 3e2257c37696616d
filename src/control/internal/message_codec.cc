// Converts control messages to and from CBOR arrays that begin with a tag for
// the message type.
#include "control/message_codec.h"

#include <algorithm>
#include <cmath>
#include <exception>
#include <iterator>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"
#include "quorum/quorum_codec.h"
#include "targets/announcement_codec.h"

namespace burdocklock::admission {

using nlohmann::json;

void to_json(json& j, const target_load& l) {
  j = json::array({l.target, l.in_flight, l.unread_tokens});
  if (l.rate_limit) {
    j.push_back(l.rate_limit->age_ms);
    // Thousandths, as whole numbers are encoded shorter.
    j.push_back(l.rate_limit->per_second
                    ? json(std::llround(*l.rate_limit->per_second * 1000))
                    : json());
  }
}
void from_json(const json& j, target_load& l) {
  j.at(0).get_to(l.target);
  j.at(1).get_to(l.in_flight);
  j.at(2).get_to(l.unread_tokens);
  constexpr std::size_t kSizeWithRate = 5;
  if (j.size() < kSizeWithRate) {
    return;
  }
  l.rate_limit.emplace();
  j.at(3).get_to(l.rate_limit->age_ms);
  if (!j.at(4).is_null()) {
    l.rate_limit->per_second =
        static_cast<double>(j.at(4).get<std::uint64_t>()) / 1000;
  }
}

// Tokens; more are a fault of the sender.
constexpr double kMaxWaiting = 1e12;

// Rounded to whole tokens, which is precise enough and encodes shorter.
void to_json(json& j, const customer_flow& f) {
  j = json::array(
      {f.pool, f.customer, std::llround(f.demand), std::llround(f.started)});
  if (f.waiting > 0) {
    j.push_back(std::llround(f.waiting));
  }
}
void from_json(const json& j, customer_flow& f) {
  j.at(0).get_to(f.pool);
  j.at(1).get_to(f.customer);
  j.at(2).get_to(f.demand);
  j.at(3).get_to(f.started);
  // Absent if nothing waits, and from routers that do not report it.
  constexpr std::size_t kSizeWithWaiting = 5;
  if (j.size() >= kSizeWithWaiting) {
    j.at(4).get_to(f.waiting);
    // Also false for what is not a number.
    if (!(f.waiting >= 0 && f.waiting <= kMaxWaiting)) {
      f.waiting = 0;
    }
  }
}

void to_json(json& j, const fleet_load& l) {
  j = json::array({l.targets, l.customers});
}
void from_json(const json& j, fleet_load& l) {
  j.at(0).get_to(l.targets);
  j.at(1).get_to(l.customers);
}

}  // namespace burdocklock::admission

namespace burdocklock::crashes {

using nlohmann::json;

namespace {

// Daemons that know no suspects but parts send and read as many elements.
constexpr std::size_t kFieldsOfEarlierEnd = 5;
constexpr std::size_t kFieldsOfEarlierEvidence = 3;

template <typename Entry>
std::vector<Entry> OfKind(const std::vector<Entry>& entries,
                          suspect_kind kind) {
  std::vector<Entry> found;
  std::copy_if(entries.begin(), entries.end(), std::back_inserter(found),
               [kind](const Entry& entry) { return entry.key.kind == kind; });
  return found;
}

template <typename Entry>
void AppendRequests(const json& j, std::vector<Entry>& entries) {
  for (Entry& entry : j.get<std::vector<Entry>>()) {
    entry.key.kind = suspect_kind::kRequest;
    entries.push_back(std::move(entry));
  }
}

}  // namespace

void to_json(json& j, const target_end& e) {
  j = json::array({e.target, e.life, e.pool, e.age_ms, e.parts, e.requests});
}
void from_json(const json& j, target_end& e) {
  j.at(0).get_to(e.target);
  j.at(1).get_to(e.life);
  j.at(2).get_to(e.pool);
  j.at(3).get_to(e.age_ms);
  j.at(4).get_to(e.parts);
  if (j.size() > kFieldsOfEarlierEnd) {
    j.at(kFieldsOfEarlierEnd).get_to(e.requests);
  }
}

void to_json(json& j, const served_suspect& s) {
  j = json::array({s.key.pool, s.key.id, s.age_ms});
}
void from_json(const json& j, served_suspect& s) {
  j.at(0).get_to(s.key.pool);
  j.at(1).get_to(s.key.id);
  j.at(2).get_to(s.age_ms);
}

void to_json(json& j, const blocked_suspect& b) {
  j = json::array({b.key.pool, b.key.id, b.age_ms, b.times_blocked});
}
void from_json(const json& j, blocked_suspect& b) {
  j.at(0).get_to(b.key.pool);
  j.at(1).get_to(b.key.id);
  j.at(2).get_to(b.age_ms);
  j.at(3).get_to(b.times_blocked);
}

void to_json(json& j, const evidence& e) {
  j = json::array({e.ends, OfKind(e.served, suspect_kind::kPart),
                   OfKind(e.blocked, suspect_kind::kPart),
                   OfKind(e.served, suspect_kind::kRequest),
                   OfKind(e.blocked, suspect_kind::kRequest)});
}
void from_json(const json& j, evidence& e) {
  j.at(0).get_to(e.ends);
  j.at(1).get_to(e.served);
  j.at(2).get_to(e.blocked);
  if (j.size() > kFieldsOfEarlierEvidence) {
    AppendRequests(j.at(kFieldsOfEarlierEvidence), e.served);
    AppendRequests(j.at(kFieldsOfEarlierEvidence + 1), e.blocked);
  }
}

}  // namespace burdocklock::crashes

namespace burdocklock::control {

using nlohmann::json;

void to_json(json& j, const state_contents& c) {
  j = json::array({c.version, c.document, c.out});
}
void from_json(const json& j, state_contents& c) {
  j.at(0).get_to(c.version);
  j.at(1).get_to(c.document);
  j.at(2).get_to(c.out);
}

void to_json(json& j, const aged_announcement& t) {
  j = json::array({t.announced, t.age_ms});
}
void from_json(const json& j, aged_announcement& t) {
  j.at(0).get_to(t.announced);
  j.at(1).get_to(t.age_ms);
}

namespace {

constexpr char kIntroduction[] = "i";
constexpr char kStateUpdate[] = "s";
constexpr char kTargetUpdate[] = "t";
constexpr char kQuorum[] = "q";
constexpr char kLoadReport[] = "l";
constexpr char kLoadSummary[] = "v";
constexpr char kEvidence[] = "e";

template <typename T>
json OrNull(const std::optional<T>& value) {
  return value ? json(*value) : json();
}

template <typename T>
void ReadOptional(const json& j, std::optional<T>& value) {
  if (!j.is_null()) {
    value = j.get<T>();
  }
}

struct encoder {
  json operator()(const introduction& m) const {
    return json::array(
        {kIntroduction, m.daemon, OrNull(m.member), m.applied_revision});
  }
  json operator()(const state_update& m) const {
    return json::array({kStateUpdate, m.revision, m.current, OrNull(m.contents),
                        m.control_hosts, m.routers, m.is_leader});
  }
  json operator()(const target_update& m) const {
    return json::array({kTargetUpdate, m.targets});
  }
  json operator()(const quorum_envelope& m) const {
    return json::array({kQuorum, m.from, m.to, m.contents});
  }
  json operator()(const load_report& m) const {
    return json::array({kLoadReport, m.daemon, m.load});
  }
  json operator()(const load_summary& m) const {
    return json::array({kLoadSummary, m.others});
  }
  json operator()(const evidence_update& m) const {
    return json::array({kEvidence, m.contents});
  }
};

message DecodeMessage(const json& j) {
  const auto& kind = j.at(0).get_ref<const std::string&>();
  if (kind == kIntroduction) {
    introduction m;
    j.at(1).get_to(m.daemon);
    ReadOptional(j.at(2), m.member);
    j.at(3).get_to(m.applied_revision);
    return m;
  }
  if (kind == kStateUpdate) {
    state_update m;
    j.at(1).get_to(m.revision);
    j.at(2).get_to(m.current);
    ReadOptional(j.at(3), m.contents);
    j.at(4).get_to(m.control_hosts);
    j.at(5).get_to(m.routers);
    j.at(6).get_to(m.is_leader);
    return m;
  }
  if (kind == kTargetUpdate) {
    target_update m;
    j.at(1).get_to(m.targets);
    return m;
  }
  if (kind == kQuorum) {
    quorum_envelope m;
    j.at(1).get_to(m.from);
    j.at(2).get_to(m.to);
    j.at(3).get_to(m.contents);
    return m;
  }
  if (kind == kLoadReport) {
    load_report m;
    j.at(1).get_to(m.daemon);
    j.at(2).get_to(m.load);
    return m;
  }
  if (kind == kLoadSummary) {
    load_summary m;
    j.at(1).get_to(m.others);
    return m;
  }
  if (kind == kEvidence) {
    evidence_update m;
    j.at(1).get_to(m.contents);
    return m;
  }
  throw std::out_of_range("unknown message kind");
}

}  // namespace

std::string Encode(const message& message) {
  std::string bytes;
  json::to_cbor(std::visit(encoder{}, message), bytes);
  return bytes;
}

result<message> Decode(const std::string& bytes) {
  // nlohmann::json reports malformed input by exception only.
  try {
    return DecodeMessage(ParseCbor(bytes));
  } catch (const std::exception& problem) {
    return error{.code = error_code::kMalformed,
                 .step = "decode control message",
                 .peer = {},
                 .detail = problem.what()};
  }
}

}  // namespace burdocklock::control
