// See the header.
#include "rollouts/rollout_history_codec.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "framework/codec/cbor_types.h"
#include "framework/codec/entry_list.h"
#include "framework/codec/whole_number.h"
#include "rollouts/rollout_codec.h"

namespace burdocklock::rollouts {

using nlohmann::json;

namespace {

// Thousandths are precise enough and encoded shorter.
constexpr double kThousand = 1000;
// Of a verdict's score.
constexpr double kMostSuspicion = 1000;

json EncodeCounts(const outcome_counts& c) {
  return json::array({c.answers, c.failures, c.timed, c.slow});
}

outcome_counts DecodeCounts(const json& j) {
  outcome_counts c;
  ReadElement(j, 0, c.answers);
  ReadElement(j, 1, c.failures);
  ReadElement(j, 2, c.timed);
  ReadElement(j, 3, c.slow);
  return c;
}

json Thousandths(double value) {
  return std::llround(value * kThousand);
}

}  // namespace

void to_json(json& j, const rollout_step& s) {
  j = json::array({static_cast<unsigned>(s.phase), Thousandths(s.part),
                   s.elapsed.count(), s.begun_old, s.begun_new,
                   EncodeCounts(s.old_version), EncodeCounts(s.new_version),
                   Thousandths(std::clamp(s.suspicion, 0.0, kMostSuspicion)),
                   s.target_at_fault, s.cause,
                   s.route ? json(*s.route) : json(), s.left_out});
}

void from_json(const json& j, rollout_step& s) {
  s.phase = ToEnum(j.at(0), rollout_phase::kReverted);
  s.part = ReadNumber(j.at(1), 0, kThousand) / kThousand;
  s.elapsed = std::chrono::milliseconds(ReadWhole<std::int64_t>(j.at(2), 0));
  ReadElement(j, 3, s.begun_old);
  ReadElement(j, 4, s.begun_new);
  s.old_version = DecodeCounts(j.at(5));
  s.new_version = DecodeCounts(j.at(6));
  s.suspicion = ReadNumber(j.at(7), 0, kMostSuspicion * kThousand) / kThousand;
  ReadElement(j, 8, s.target_at_fault);
  ReadElement(j, 9, s.cause);
  s.route.reset();
  if (!j.at(10).is_null()) {
    s.route = j.at(10).get<route_key>();
  }
  ReadElement(j, 11, s.left_out);
}

void to_json(json& j, const rollout_record& r) {
  j = json::array({r.order, static_cast<unsigned>(r.phase), r.steps});
}

void from_json(const json& j, rollout_record& r) {
  j.at(0).get_to(r.order);
  r.phase = ToEnum(j.at(1), rollout_phase::kReverted);
  j.at(2).get_to(r.steps);
}

void to_json(json& j, const rollout_history& history) {
  j = history.records();
}

void from_json(const json& j, rollout_history& history) {
  // A record that is odd is not worth the state that is restored with it.
  std::vector<rollout_record> records;
  dropped_entries ignored;
  if (j.is_array()) {
    ReadEntries(j, records, ignored);
  }
  history = rollout_history(std::move(records));
}

}  // namespace burdocklock::rollouts
