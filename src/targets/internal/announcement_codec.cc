// Converts target announcements to and from JSON arrays, which daemons exchange
// encoded as CBOR.
#include "targets/announcement_codec.h"

#include <cstddef>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"

namespace burdocklock::targets {

using nlohmann::json;

void to_json(json& j, const load_report& l) {
  j = json::array({l.running, l.waiting, l.kv_used, l.at_ms});
}
void from_json(const json& j, load_report& l) {
  j.at(0).get_to(l.running);
  j.at(1).get_to(l.waiting);
  j.at(2).get_to(l.kv_used);
  j.at(3).get_to(l.at_ms);
}

void to_json(json& j, const announcement& a) {
  j = json::array({a.target, a.life, a.data_centre,
                   static_cast<unsigned>(a.kind), a.address, a.pools,
                   static_cast<unsigned>(a.state), a.slots, a.cold_slots,
                   static_cast<unsigned>(a.fencing),
                   a.load ? json(*a.load) : json(), a.sequence,
                   a.cold_for ? json(a.cold_for->count()) : json(), a.version});
}
void from_json(const json& j, announcement& a) {
  j.at(0).get_to(a.target);
  j.at(1).get_to(a.life);
  j.at(2).get_to(a.data_centre);
  a.kind = ToEnum(j.at(3), target_kind::kService);
  j.at(4).get_to(a.address);
  j.at(5).get_to(a.pools);
  a.state = ToEnum(j.at(6), target_state::kLeaving);
  j.at(7).get_to(a.slots);
  j.at(8).get_to(a.cold_slots);
  a.fencing = ToEnum(j.at(9), fencing_support::kIgnores);
  if (!j.at(10).is_null()) {
    a.load = j.at(10).get<load_report>();
  }
  j.at(11).get_to(a.sequence);
  if (!j.at(12).is_null()) {
    a.cold_for = std::chrono::milliseconds(j.at(12).get<std::int64_t>());
  }
  // Older peers leave the version out.
  constexpr std::size_t kVersionAt = 13;
  if (j.size() > kVersionAt) {
    j.at(kVersionAt).get_to(a.version);
  }
  if (a.pools.empty() || a.slots == 0 || a.cold_slots == 0 ||
      a.cold_slots > a.slots) {
    throw std::out_of_range("announcement");
  }
}

}  // namespace burdocklock::targets
