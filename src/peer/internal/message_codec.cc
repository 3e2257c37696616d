// Keys are short, as the messages are sent every second.
#include "peer/message_codec.h"

#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"
#include "framework/codec/entry_list.h"
#include "framework/codec/whole_number.h"
#include "targets/announcement_codec.h"

namespace burdocklock {

using nlohmann::json;

// nlohmann::json finds conversions by argument-dependent lookup, so they are in
// the namespaces of their types.

namespace membership {

void to_json(json& j, const member& m) {
  j = json::array(
      {m.daemon, m.life, m.data_centre, m.region, m.has_control_role});
}
void from_json(const json& j, member& m) {
  ReadElement(j, 0, m.daemon);
  ReadElement(j, 1, m.life);
  ReadElement(j, 2, m.data_centre);
  ReadElement(j, 3, m.region);
  ReadElement(j, 4, m.has_control_role);
}

void to_json(json& j, const data_centre_order& o) {
  j = json::array({o.data_centre, o.out, o.version, o.accepted_by});
}
void from_json(const json& j, data_centre_order& o) {
  ReadElement(j, 0, o.data_centre);
  ReadElement(j, 1, o.out);
  ReadElement(j, 2, o.version);
  ReadElement(j, 3, o.accepted_by);
}

}  // namespace membership

namespace targets {

void to_json(json& j, const lease_evidence& e) {
  j = json::array({e.target, e.life, e.epoch, e.successes, e.failures,
                   e.first_output_jumped});
}
void from_json(const json& j, lease_evidence& e) {
  ReadElement(j, 0, e.target);
  ReadElement(j, 1, e.life);
  ReadElement(j, 2, e.epoch);
  ReadElement(j, 3, e.successes);
  ReadElement(j, 4, e.failures);
  ReadElement(j, 5, e.first_output_jumped);
}

void to_json(json& j, const target_lease& l) {
  j = json::array({l.target, l.limit, l.ramp_limit, l.epoch});
}
void from_json(const json& j, target_lease& l) {
  ReadElement(j, 0, l.target);
  ReadElement(j, 1, l.limit);
  ReadElement(j, 2, l.ramp_limit);
  ReadElement(j, 3, l.epoch);
}

}  // namespace targets

namespace allocation {

void to_json(json& j, const customer_demand& d) {
  j = json::array({d.customer, d.share, d.waiting, d.running, d.service});
}
void from_json(const json& j, customer_demand& d) {
  ReadElement(j, 0, d.customer);
  ReadElement(j, 1, d.share);
  ReadElement(j, 2, d.waiting);
  ReadElement(j, 3, d.running);
  ReadElement(j, 4, d.service);
  if (!(d.share > 0) || !(d.service >= 0)) {
    throw std::out_of_range("share or service");
  }
}

void to_json(json& j, const pool_demand& d) {
  j = json::array({d.pool, d.customers});
}
void from_json(const json& j, pool_demand& d) {
  ReadElement(j, 0, d.pool);
  ReadElement(j, 1, d.customers);
}

void to_json(json& j, const slot_holding& h) {
  j = json::array({h.target, h.life, h.limit, h.in_use, h.ramp_limit});
}
void from_json(const json& j, slot_holding& h) {
  ReadElement(j, 0, h.target);
  ReadElement(j, 1, h.life);
  ReadElement(j, 2, h.limit);
  ReadElement(j, 3, h.in_use);
  ReadElement(j, 4, h.ramp_limit);
}

void to_json(json& j, const customer_status& s) {
  j = json::array({s.customer, s.virtual_service});
}
void from_json(const json& j, customer_status& s) {
  ReadElement(j, 0, s.customer);
  ReadElement(j, 1, s.virtual_service);
}

void to_json(json& j, const pool_status& s) {
  j = json::array({s.pool, s.capacity, s.scarce, s.customers});
}
void from_json(const json& j, pool_status& s) {
  ReadElement(j, 0, s.pool);
  ReadElement(j, 1, s.capacity);
  ReadElement(j, 2, s.scarce);
  ReadElement(j, 3, s.customers);
}

void to_json(json& j, const router_report& r) {
  j = {{"f", r.sender},       {"n", r.sequence},      {"g", r.applied_grant},
       {"c", r.applied_from}, {"d", r.demand},        {"h", r.holdings},
       {"e", r.evidence},     {"a", r.announcements}, {"o", r.orders},
       {"l", r.leaving}};
}

namespace {

router_report ReadReport(const json& j, dropped_entries& dropped) {
  router_report r;
  j.at("f").get_to(r.sender);
  r.sequence = ReadWhole<std::uint64_t>(j.at("n"));
  r.applied_grant = ReadWhole<std::uint64_t>(j.at("g"));
  j.at("c").get_to(r.applied_from);
  j.at("d").get_to(r.demand);
  j.at("h").get_to(r.holdings);
  j.at("e").get_to(r.evidence);
  ReadEntries(j.at("a"), r.announcements, dropped);
  j.at("o").get_to(r.orders);
  j.at("l").get_to(r.leaving);
  return r;
}

}  // namespace

void to_json(json& j, const grant_table& g) {
  j = {{"f", g.sender}, {"v", g.version}, {"n", g.answers},
       {"s", g.served}, {"l", g.leases},  {"p", g.pool_statuses},
       {"o", g.orders}};
}
void from_json(const json& j, grant_table& g) {
  j.at("f").get_to(g.sender);
  g.version = ReadWhole<std::uint64_t>(j.at("v"));
  g.answers = ReadWhole<std::uint64_t>(j.at("n"));
  j.at("s").get_to(g.served);
  j.at("l").get_to(g.leases);
  j.at("p").get_to(g.pool_statuses);
  j.at("o").get_to(g.orders);
}

}  // namespace allocation

namespace fleet {

void to_json(json& j, const heartbeat& h) {
  j = {{"f", h.sender}, {"o", h.orders}, {"l", h.leaving}};
}
void from_json(const json& j, heartbeat& h) {
  j.at("f").get_to(h.sender);
  j.at("o").get_to(h.orders);
  j.at("l").get_to(h.leaving);
}

}  // namespace fleet

namespace peer {

namespace {

constexpr char kVersionKey[] = "v";
constexpr char kKindKey[] = "k";
constexpr char kBodyKey[] = "b";

error Malformed(std::string detail) {
  return error{.code = error_code::kMalformed,
               .step = "decode message",
               .peer = {},
               .detail = std::move(detail)};
}

fleet::message DecodeBody(std::size_t kind,
                          const json& body,
                          dropped_entries& dropped) {
  switch (kind) {
    case 0:
      return body.get<fleet::heartbeat>();
    case 1:
      return allocation::ReadReport(body, dropped);
    case 2:
      return body.get<allocation::grant_table>();
    default:
      throw std::out_of_range("unknown message kind");
  }
}

}  // namespace

std::string Encode(const fleet::message& message) {
  json document = {{kVersionKey, kProtocolVersion},
                   {kKindKey, message.index()}};
  std::visit([&](const auto& body) { document[kBodyKey] = body; }, message);
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

result<fleet::message> Decode(std::string_view bytes,
                              dropped_entries& dropped) {
  // nlohmann::json throws on missing and invalid members, and on excessive
  // sizes even if exceptions are disabled.
  try {
    const json document = ParseCbor(bytes);
    if (!document.is_object()) {
      return Malformed("not a CBOR map");
    }
    if (ReadWhole<int>(document.at(kVersionKey)) != kProtocolVersion) {
      return Malformed("unsupported protocol version");
    }
    return DecodeBody(ReadWhole<std::size_t>(document.at(kKindKey)),
                      document.at(kBodyKey), dropped);
  } catch (const std::exception& problem) {
    return Malformed(problem.what());
  }
}

result<fleet::message> Decode(std::string_view bytes) {
  dropped_entries ignored;
  return Decode(bytes, ignored);
}

}  // namespace peer
}  // namespace burdocklock
