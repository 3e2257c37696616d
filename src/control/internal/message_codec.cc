// Converts control messages to and from CBOR arrays that begin with a tag for
// the message type.
#include "control/message_codec.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

#include "control/internal/evidence_codec.h"
#include "control/internal/load_codec.h"
#include "control/internal/message_age.h"
#include "control/internal/stream_codec.h"
#include "framework/codec/cbor_types.h"
#include "framework/codec/entry_list.h"
#include "framework/codec/whole_number.h"
#include "quorum/quorum_codec.h"
#include "rollouts/rollout_codec.h"
#include "targets/announcement_codec.h"

namespace burdocklock::control {

using nlohmann::json;

void to_json(json& j, const state_contents& c) {
  j = json::array({c.version, c.document, c.out});
  if (!c.rollouts.empty()) {
    j.push_back(rollouts::EncodeRollouts(c.rollouts));
  }
}
void from_json(const json& j, state_contents& c) {
  ReadElement(j, 0, c.version);
  ReadElement(j, 1, c.document);
  ReadElement(j, 2, c.out);
  // Absent without a rollout, and from earlier software.
  constexpr std::size_t kRolloutsAt = 3;
  if (j.size() > kRolloutsAt) {
    c.rollouts = rollouts::DecodeRollouts(j.at(kRolloutsAt));
  }
}

void to_json(json& j, const aged_announcement& t) {
  j = json::array({t.announced, t.age_ms});
}
void from_json(const json& j, aged_announcement& t) {
  ReadElement(j, 0, t.announced);
  t.age_ms = ReadWhole<std::uint64_t>(j.at(1), 0, kMaxAgeMs);
}

namespace {

constexpr char kIntroduction[] = "i";
constexpr char kStateUpdate[] = "s";
constexpr char kTargetUpdate[] = "t";
constexpr char kQuorum[] = "q";
constexpr char kLoadReport[] = "l";
constexpr char kLoadSummary[] = "v";
constexpr char kEvidence[] = "e";
constexpr char kStreamUpdate[] = "r";
constexpr char kStreamQuery[] = "a";
constexpr char kStreamAnswer[] = "o";
constexpr char kRolloutUpdate[] = "p";

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

// The calls of a load come last in its message, where earlier software ignores
// them.
void AddCalls(const admission::fleet_load& load, json& j) {
  if (load.calls) {
    j.push_back(admission::ToSteps(*load.calls));
  }
}
void ReadCalls(const json& j, std::size_t at, admission::fleet_load& load) {
  if (j.size() > at) {
    load.calls = admission::ReadDemand(j.at(at));
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
    json j = json::array({kLoadReport, m.daemon, m.load});
    if (!m.outcomes.empty() || m.load.calls) {
      j.push_back(m.outcomes);
    }
    AddCalls(m.load, j);
    return j;
  }
  json operator()(const load_summary& m) const {
    json j = json::array({kLoadSummary, m.others});
    AddCalls(m.others, j);
    return j;
  }
  json operator()(const evidence_update& m) const {
    return json::array({kEvidence, m.contents});
  }
  json operator()(const stream_update& m) const {
    return json::array({kStreamUpdate, EncodeRecords(m.records)});
  }
  json operator()(const stream_query& m) const {
    return json::array({kStreamQuery, EncodeKeys(m.keys)});
  }
  json operator()(const stream_answer& m) const {
    return json::array(
        {kStreamAnswer, EncodeRecords(m.known), EncodeKeys(m.unknown)});
  }
  json operator()(const rollout_update& m) const {
    return json::array({kRolloutUpdate, m.parts});
  }
  json operator()(const unrecognised_message& m) const {
    return json::array({m.kind});
  }
};

message DecodeMessage(const json& j, dropped_entries& dropped) {
  const auto& kind = j.at(0).get_ref<const std::string&>();
  if (kind == kIntroduction) {
    introduction m;
    ReadElement(j, 1, m.daemon);
    ReadOptional(j.at(2), m.member);
    ReadElement(j, 3, m.applied_revision);
    return m;
  }
  if (kind == kStateUpdate) {
    state_update m;
    ReadElement(j, 1, m.revision);
    ReadElement(j, 2, m.current);
    ReadOptional(j.at(3), m.contents);
    ReadElement(j, 4, m.control_hosts);
    ReadElement(j, 5, m.routers);
    ReadElement(j, 6, m.is_leader);
    return m;
  }
  if (kind == kTargetUpdate) {
    target_update m;
    ReadEntries(j.at(1), m.targets, dropped);
    return m;
  }
  if (kind == kQuorum) {
    quorum_envelope m;
    ReadElement(j, 1, m.from);
    ReadElement(j, 2, m.to);
    ReadElement(j, 3, m.contents);
    return m;
  }
  if (kind == kLoadReport) {
    load_report m;
    ReadElement(j, 1, m.daemon);
    m.load = admission::ReadLoad(j.at(2), dropped);
    constexpr std::size_t kOutcomesAt = 3;
    if (j.size() > kOutcomesAt) {
      ReadEntries(j.at(kOutcomesAt), m.outcomes, dropped);
    }
    ReadCalls(j, kOutcomesAt + 1, m.load);
    return m;
  }
  if (kind == kLoadSummary) {
    load_summary m;
    m.others = admission::ReadLoad(j.at(1), dropped);
    ReadCalls(j, 2, m.others);
    return m;
  }
  if (kind == kEvidence) {
    evidence_update m;
    m.contents = crashes::ReadEvidence(j.at(1), dropped);
    return m;
  }
  if (kind == kStreamUpdate) {
    return stream_update{.records = DecodeRecords(j.at(1))};
  }
  if (kind == kStreamQuery) {
    return stream_query{.keys = DecodeKeys(j.at(1))};
  }
  if (kind == kStreamAnswer) {
    return stream_answer{.known = DecodeRecords(j.at(1)),
                         .unknown = DecodeKeys(j.at(2))};
  }
  if (kind == kRolloutUpdate) {
    rollout_update m;
    ReadEntries(j.at(1), m.parts, dropped);
    return m;
  }
  return unrecognised_message{.kind = kind};
}

}  // namespace

std::string Encode(const message& message) {
  std::string bytes;
  json::to_cbor(std::visit(encoder{}, message), bytes);
  return bytes;
}

result<message> Decode(const std::string& bytes, dropped_entries& dropped) {
  // nlohmann::json reports malformed input by exception only.
  try {
    return DecodeMessage(ParseCbor(bytes), dropped);
  } catch (const std::exception& problem) {
    return error{.code = error_code::kMalformed,
                 .step = "decode control message",
                 .peer = {},
                 .detail = problem.what()};
  }
}

result<message> Decode(const std::string& bytes) {
  dropped_entries ignored;
  return Decode(bytes, ignored);
}

}  // namespace burdocklock::control
