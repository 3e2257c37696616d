// Values are encoded as arrays without field names, because there are many of
// them; the order of the elements is part of the format.
#include "quorum/quorum_codec.h"

#include <exception>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"

namespace burdocklock::quorum {

using nlohmann::json;

void to_json(json& j, const member& m) {
  j = json::array({m.id, m.peer_endpoint, m.command_endpoint, m.voter});
}
void from_json(const json& j, member& m) {
  j.at(0).get_to(m.id);
  j.at(1).get_to(m.peer_endpoint);
  j.at(2).get_to(m.command_endpoint);
  j.at(3).get_to(m.voter);
}

void to_json(json& j, const log_entry& e) {
  j = json::array(
      {e.index, e.term, static_cast<unsigned>(e.kind), e.command, e.members});
}
void from_json(const json& j, log_entry& e) {
  j.at(0).get_to(e.index);
  j.at(1).get_to(e.term);
  e.kind = ToEnum(j.at(2), entry_kind::kMembership);
  j.at(3).get_to(e.command);
  j.at(4).get_to(e.members);
}

void to_json(json& j, const snapshot& s) {
  j = json::array({s.last_index, s.last_term, s.members, s.state});
}
void from_json(const json& j, snapshot& s) {
  j.at(0).get_to(s.last_index);
  j.at(1).get_to(s.last_term);
  j.at(2).get_to(s.members);
  j.at(3).get_to(s.state);
}

namespace {

json ToJson(const vote_request& m) {
  return json::array({m.term, m.last_index, m.last_term, m.pre_vote});
}
void FromJson(const json& j, vote_request& m) {
  j.at(1).get_to(m.term);
  j.at(2).get_to(m.last_index);
  j.at(3).get_to(m.last_term);
  j.at(4).get_to(m.pre_vote);
}

json ToJson(const vote_response& m) {
  return json::array({m.term, m.granted, m.pre_vote});
}
void FromJson(const json& j, vote_response& m) {
  j.at(1).get_to(m.term);
  j.at(2).get_to(m.granted);
  j.at(3).get_to(m.pre_vote);
}

json ToJson(const append_request& m) {
  return json::array({m.term, m.previous_index, m.previous_term, m.entries,
                      m.commit, m.round});
}
void FromJson(const json& j, append_request& m) {
  j.at(1).get_to(m.term);
  j.at(2).get_to(m.previous_index);
  j.at(3).get_to(m.previous_term);
  j.at(4).get_to(m.entries);
  j.at(5).get_to(m.commit);
  j.at(6).get_to(m.round);
}

json ToJson(const append_response& m) {
  return json::array({m.term, m.accepted, m.match, m.round});
}
void FromJson(const json& j, append_response& m) {
  j.at(1).get_to(m.term);
  j.at(2).get_to(m.accepted);
  j.at(3).get_to(m.match);
  j.at(4).get_to(m.round);
}

json ToJson(const snapshot_request& m) {
  return json::array({m.term, m.contents, m.round});
}
void FromJson(const json& j, snapshot_request& m) {
  j.at(1).get_to(m.term);
  j.at(2).get_to(m.contents);
  j.at(3).get_to(m.round);
}

json ToJson(const join_request& m) {
  return json::array({m.new_member});
}
void FromJson(const json& j, join_request& m) {
  j.at(1).get_to(m.new_member);
}

json ToJson(const vote_record& r) {
  return json::array({r.term, r.vote});
}
void FromJson(const json& j, vote_record& r) {
  j.at(1).get_to(r.term);
  j.at(2).get_to(r.vote);
}

json ToJson(const append_record& r) {
  return json::array({r.entry});
}
void FromJson(const json& j, append_record& r) {
  j.at(1).get_to(r.entry);
}

json ToJson(const truncate_record& r) {
  return json::array({r.first});
}
void FromJson(const json& j, truncate_record& r) {
  j.at(1).get_to(r.first);
}

json ToJson(const rewrite_record& r) {
  const durable_state& s = r.state;
  return json::array({s.self, s.term, s.vote, s.base, s.entries});
}
void FromJson(const json& j, rewrite_record& r) {
  durable_state& s = r.state;
  j.at(1).get_to(s.self);
  j.at(2).get_to(s.term);
  j.at(3).get_to(s.vote);
  j.at(4).get_to(s.base);
  j.at(5).get_to(s.entries);
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
    if (j.at(0).get<std::size_t>() != Index) {
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
    return ToVariant<storage_record>(ParseIntegers(bytes));
  } catch (const std::exception& exception) {
    return error{.code = error_code::kMalformed,
                 .step = "decode record",
                 .peer = {},
                 .detail = exception.what()};
  }
}

}  // namespace burdocklock::quorum
