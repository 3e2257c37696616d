// Keys are short, as the messages are sent every second.
#include "peer/message_codec.h"

#include <exception>
#include <utility>

#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"
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
  j.at(0).get_to(m.daemon);
  j.at(1).get_to(m.life);
  j.at(2).get_to(m.data_centre);
  j.at(3).get_to(m.region);
  j.at(4).get_to(m.has_control_role);
}

void to_json(json& j, const data_centre_order& o) {
  j = json::array({o.data_centre, o.out, o.version, o.accepted_by});
}
void from_json(const json& j, data_centre_order& o) {
  j.at(0).get_to(o.data_centre);
  j.at(1).get_to(o.out);
  j.at(2).get_to(o.version);
  j.at(3).get_to(o.accepted_by);
}

}  // namespace membership

namespace targets {

void to_json(json& j, const lease_evidence& e) {
  j = json::array({e.target, e.life, e.epoch, e.successes, e.failures,
                   e.first_output_jumped});
}
void from_json(const json& j, lease_evidence& e) {
  j.at(0).get_to(e.target);
  j.at(1).get_to(e.life);
  j.at(2).get_to(e.epoch);
  j.at(3).get_to(e.successes);
  j.at(4).get_to(e.failures);
  j.at(5).get_to(e.first_output_jumped);
}

void to_json(json& j, const target_lease& l) {
  j = json::array({l.target, l.limit, l.ramp_limit, l.epoch});
}
void from_json(const json& j, target_lease& l) {
  j.at(0).get_to(l.target);
  j.at(1).get_to(l.limit);
  j.at(2).get_to(l.ramp_limit);
  j.at(3).get_to(l.epoch);
}

}  // namespace targets

namespace allocation {

void to_json(json& j, const customer_demand& d) {
  j = json::array({d.customer, d.share, d.waiting, d.running, d.service});
}
void from_json(const json& j, customer_demand& d) {
  j.at(0).get_to(d.customer);
  j.at(1).get_to(d.share);
  j.at(2).get_to(d.waiting);
  j.at(3).get_to(d.running);
  j.at(4).get_to(d.service);
  if (!(d.share > 0)) {
    throw std::out_of_range("share");
  }
}

void to_json(json& j, const pool_demand& d) {
  j = json::array({d.pool, d.customers});
}
void from_json(const json& j, pool_demand& d) {
  j.at(0).get_to(d.pool);
  j.at(1).get_to(d.customers);
}

void to_json(json& j, const slot_holding& h) {
  j = json::array({h.target, h.life, h.limit, h.in_use, h.ramp_limit});
}
void from_json(const json& j, slot_holding& h) {
  j.at(0).get_to(h.target);
  j.at(1).get_to(h.life);
  j.at(2).get_to(h.limit);
  j.at(3).get_to(h.in_use);
  j.at(4).get_to(h.ramp_limit);
}

void to_json(json& j, const customer_status& s) {
  j = json::array({s.customer, s.virtual_service});
}
void from_json(const json& j, customer_status& s) {
  j.at(0).get_to(s.customer);
  j.at(1).get_to(s.virtual_service);
}

void to_json(json& j, const pool_status& s) {
  j = json::array({s.pool, s.capacity, s.scarce, s.customers});
}
void from_json(const json& j, pool_status& s) {
  j.at(0).get_to(s.pool);
  j.at(1).get_to(s.capacity);
  j.at(2).get_to(s.scarce);
  j.at(3).get_to(s.customers);
}

void to_json(json& j, const router_report& r) {
  j = {{"f", r.sender},       {"n", r.sequence},      {"g", r.applied_grant},
       {"c", r.applied_from}, {"d", r.demand},        {"h", r.holdings},
       {"e", r.evidence},     {"a", r.announcements}, {"o", r.orders},
       {"l", r.leaving}};
}
void from_json(const json& j, router_report& r) {
  j.at("f").get_to(r.sender);
  j.at("n").get_to(r.sequence);
  j.at("g").get_to(r.applied_grant);
  j.at("c").get_to(r.applied_from);
  j.at("d").get_to(r.demand);
  j.at("h").get_to(r.holdings);
  j.at("e").get_to(r.evidence);
  j.at("a").get_to(r.announcements);
  j.at("o").get_to(r.orders);
  j.at("l").get_to(r.leaving);
}

void to_json(json& j, const grant_table& g) {
  j = {{"f", g.sender}, {"v", g.version}, {"n", g.answers},
       {"s", g.served}, {"l", g.leases},  {"p", g.pool_statuses},
       {"o", g.orders}};
}
void from_json(const json& j, grant_table& g) {
  j.at("f").get_to(g.sender);
  j.at("v").get_to(g.version);
  j.at("n").get_to(g.answers);
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

fleet::message DecodeBody(std::size_t kind, const json& body) {
  switch (kind) {
    case 0:
      return body.get<fleet::heartbeat>();
    case 1:
      return body.get<allocation::router_report>();
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

result<fleet::message> Decode(std::string_view bytes) {
  // nlohmann::json throws on missing and invalid members, and on excessive
  // sizes even if exceptions are disabled.
  try {
    const json document = ParseCbor(bytes);
    if (!document.is_object()) {
      return Malformed("not a CBOR map");
    }
    if (document.at(kVersionKey).get<int>() != kProtocolVersion) {
      return Malformed("unsupported protocol version");
    }
    return DecodeBody(document.at(kKindKey).get<std::size_t>(),
                      document.at(kBodyKey));
  } catch (const std::exception& problem) {
    return Malformed(problem.what());
  }
}

}  // namespace peer
}  // namespace burdocklock
