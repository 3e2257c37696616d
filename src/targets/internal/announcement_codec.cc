// Converts target announcements to and from JSON arrays, which daemons exchange
// encoded as CBOR.
#include "targets/announcement_codec.h"

#include <cstddef>

#include <nlohmann/json.hpp>

#include "framework/codec/cbor_types.h"
#include "framework/codec/whole_number.h"
#include "targets/announcement_checks.h"

namespace burdocklock::targets {

using nlohmann::json;

namespace {

// A fraction; targets may round it up a little.
constexpr double kMaxCacheUse = 10;

}  // namespace

void to_json(json& j, const load_report& l) {
  j = json::array({l.running, l.waiting, l.kv_used, l.at_ms});
}
void from_json(const json& j, load_report& l) {
  ReadElement(j, 0, l.running);
  ReadElement(j, 1, l.waiting);
  l.kv_used = ReadNumber(j.at(2), 0, kMaxCacheUse);
  ReadElement(j, 3, l.at_ms);
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
  ReadElement(j, 7, a.slots);
  ReadElement(j, 8, a.cold_slots);
  a.fencing = ToEnum(j.at(9), fencing_support::kIgnores);
  if (!j.at(10).is_null()) {
    a.load = j.at(10).get<load_report>();
  }
  ReadElement(j, 11, a.sequence);
  if (!j.at(12).is_null()) {
    constexpr std::chrono::milliseconds kMaxCold = kMaxColdFor;
    a.cold_for = std::chrono::milliseconds(
        ReadWhole<std::int64_t>(j.at(12), 0, kMaxCold.count()));
  }
  // Older peers leave the version out.
  constexpr std::size_t kVersionAt = 13;
  if (j.size() > kVersionAt) {
    ReadElement(j, kVersionAt, a.version);
  }
  Check(a);
}

}  // namespace burdocklock::targets
