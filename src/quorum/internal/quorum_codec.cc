// Values are encoded as arrays without field names, because there are many of
// them; the order of the elements is part of the format.
#include "quorum/quorum_codec.h"

#include <exception>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"
#include "framework/codec/whole_number.h"

namespace burdocklock::quorum {

using nlohmann::json;

void to_json(json& j, const member& m) {
  j = json::array({m.id, m.peer_endpoint, m.command_endpoint, m.voter});
}
void from_json(const json& j, member& m) {
  ReadElement(j, 0, m.id);
  ReadElement(j, 1, m.peer_endpoint);
  ReadElement(j, 2, m.command_endpoint);
  ReadElement(j, 3, m.voter);
}

void to_json(json& j, const log_entry& e) {
  j = json::array(
      {e.index, e.term, static_cast<unsigned>(e.kind), e.command, e.members});
}
void from_json(const json& j, log_entry& e) {
  ReadElement(j, 0, e.index);
  ReadElement(j, 1, e.term);
  e.kind = ToEnum(j.at(2), entry_kind::kMembership);
  ReadElement(j, 3, e.command);
  ReadElement(j, 4, e.members);
}

void to_json(json& j, const snapshot& s) {
  j = json::array({s.last_index, s.last_term, s.members, s.state});
}
void from_json(const json& j, snapshot& s) {
  ReadElement(j, 0, s.last_index);
  ReadElement(j, 1, s.last_term);
  ReadElement(j, 2, s.members);
  ReadElement(j, 3, s.state);
}

namespace {

json ToJson(const vote_request& m) {
  return json::array({m.term, m.last_index, m.last_term, m.pre_vote,
                      static_cast<unsigned>(m.standing)});
}
void FromJson(const json& j, vote_request& m) {
  ReadElement(j, 1, m.term);
  ReadElement(j, 2, m.last_index);
  ReadElement(j, 3, m.last_term);
  ReadElement(j, 4, m.pre_vote);
  // Absent in messages of older software.
  constexpr std::size_t kStanding = 5;
  if (j.size() > kStanding) {
    m.standing = ToEnum(j.at(kStanding), candidacy::kGivesUp);
  }
}

json ToJson(const vote_response& m) {
  return json::array({m.term, m.granted, m.pre_vote});
}
void FromJson(const json& j, vote_response& m) {
  ReadElement(j, 1, m.term);
  ReadElement(j, 2, m.granted);
  ReadElement(j, 3, m.pre_vote);
}

json ToJson(const append_request& m) {
  return json::array({m.term, m.previous_index, m.previous_term, m.entries,
                      m.commit, m.round});
}
void FromJson(const json& j, append_request& m) {
  ReadElement(j, 1, m.term);
  ReadElement(j, 2, m.previous_index);
  ReadElement(j, 3, m.previous_term);
  ReadElement(j, 4, m.entries);
  ReadElement(j, 5, m.commit);
  ReadElement(j, 6, m.round);
}

json ToJson(const append_response& m) {
  return json::array({m.term, m.accepted, m.match, m.round});
}
void FromJson(const json& j, append_response& m) {
  ReadElement(j, 1, m.term);
  ReadElement(j, 2, m.accepted);
  ReadElement(j, 3, m.match);
  ReadElement(j, 4, m.round);
}

json ToJson(const snapshot_request& m) {
  return json::array({m.term, m.contents, m.round});
}
void FromJson(const json& j, snapshot_request& m) {
  ReadElement(j, 1, m.term);
  ReadElement(j, 2, m.contents);
  ReadElement(j, 3, m.round);
}

json ToJson(const join_request& m) {
  return json::array({m.new_member});
}
void FromJson(const json& j, join_request& m) {
  ReadElement(j, 1, m.new_member);
}

json ToJson(const leave_request&) {
  return json::array();
}
void FromJson(const json&, leave_request&) {}

json ToJson(const leave_response&) {
  return json::array();
}
void FromJson(const json&, leave_response&) {}

json ToJson(const vote_record& r) {
  return json::array({r.term, r.vote});
}
void FromJson(const json& j, vote_record& r) {
  ReadElement(j, 1, r.term);
  ReadElement(j, 2, r.vote);
}

json ToJson(const append_record& r) {
  return json::array({r.entry});
}
void FromJson(const json& j, append_record& r) {
  ReadElement(j, 1, r.entry);
}

json ToJson(const truncate_record& r) {
  return json::array({r.first});
}
void FromJson(const json& j, truncate_record& r) {
  ReadElement(j, 1, r.first);
}

json ToJson(const rewrite_record& r) {
  const durable_state& s = r.state;
  return json::array({s.self, s.term, s.vote, s.base, s.entries});
}
void FromJson(const json& j, rewrite_record& r) {
  durable_state& s = r.state;
  ReadElement(j, 1, s.self);
  ReadElement(j, 2, s.term);
  ReadElement(j, 3, s.vote);
  ReadElement(j, 4, s.base);
  ReadElement(j, 5, s.entries);
}

// A variant is encoded as an array that begins with the index of the
// alternative.
template <typename Variant>
json FromVariant(const Variant& value) {
  json fields = std::visit(
      [](const auto& alternative) { return ToJson(alternative); }, value);
  fields.insert(fields.begin(), value.index());
  return fields;
}

template <typename Variant, std::size_t Index = 0>
Variant ToVariant(const json& j) {
  if constexpr (Index == std::variant_size_v<Variant>) {
    throw std::out_of_range("alternative");
  } else {
    if (ReadWhole<std::size_t>(j.at(0)) != Index) {
      return ToVariant<Variant, Index + 1>(j);
    }
    std::variant_alternative_t<Index, Variant> value;
    FromJson(j, value);
    return value;
  }
}

}  // namespace

void to_json(json& j, const quorum_message& message) {
  j = FromVariant(message);
}
void from_json(const json& j, quorum_message& message) {
  message = ToVariant<quorum_message>(j);
}

std::string EncodeRecord(const storage_record& record) {
  std::string bytes;
  json::to_cbor(FromVariant(record), bytes);
  return bytes;
}

result<storage_record> DecodeRecord(std::string_view bytes) {
  // nlohmann::json reports malformed input only by exception.
  try {
    return ToVariant<storage_record>(ParseCbor(bytes));
  } catch (const std::exception& exception) {
    return error{.code = error_code::kMalformed,
                 .step = "decode record",
                 .peer = {},
                 .detail = exception.what()};
  }
}

}  // namespace burdocklock::quorum
