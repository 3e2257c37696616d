#include "control/internal/evidence_codec.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <vector>

#include "control/internal/message_age.h"
#include "framework/codec/cbor_types.h"
#include "framework/codec/whole_number.h"

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
void ReadRequests(const json& j,
                  std::vector<Entry>& entries,
                  dropped_entries& dropped) {
  const std::size_t parts = entries.size();
  ReadEntries(j, entries, dropped);
  for (std::size_t i = parts; i < entries.size(); ++i) {
    entries[i].key.kind = suspect_kind::kRequest;
  }
}

}  // namespace

void to_json(json& j, const target_end& e) {
  j = json::array({e.target, e.life, e.pool, e.age_ms, e.parts, e.requests});
}
void from_json(const json& j, target_end& e) {
  ReadElement(j, 0, e.target);
  ReadElement(j, 1, e.life);
  ReadElement(j, 2, e.pool);
  e.age_ms = control::ReadAge(j.at(3));
  for (const json& part : j.at(4)) {
    e.parts.push_back(ReadWhole<std::uint64_t>(part));
  }
  if (j.size() > kFieldsOfEarlierEnd) {
    j.at(kFieldsOfEarlierEnd).get_to(e.requests);
  }
}

void to_json(json& j, const served_suspect& s) {
  j = json::array({s.key.pool, s.key.id, s.age_ms});
}
void from_json(const json& j, served_suspect& s) {
  ReadElement(j, 0, s.key.pool);
  ReadElement(j, 1, s.key.id);
  s.age_ms = control::ReadAge(j.at(2));
}

void to_json(json& j, const blocked_suspect& b) {
  j = json::array({b.key.pool, b.key.id, b.age_ms, b.times_blocked});
}
void from_json(const json& j, blocked_suspect& b) {
  ReadElement(j, 0, b.key.pool);
  ReadElement(j, 1, b.key.id);
  b.age_ms = control::ReadAge(j.at(2));
  ReadElement(j, 3, b.times_blocked);
}

void to_json(json& j, const evidence& e) {
  j = json::array({e.ends, OfKind(e.served, suspect_kind::kPart),
                   OfKind(e.blocked, suspect_kind::kPart),
                   OfKind(e.served, suspect_kind::kRequest),
                   OfKind(e.blocked, suspect_kind::kRequest)});
}

evidence ReadEvidence(const json& j, dropped_entries& dropped) {
  evidence e;
  ReadEntries(j.at(0), e.ends, dropped);
  ReadEntries(j.at(1), e.served, dropped);
  ReadEntries(j.at(2), e.blocked, dropped);
  if (j.size() > kFieldsOfEarlierEvidence) {
    ReadRequests(j.at(kFieldsOfEarlierEvidence), e.served, dropped);
    ReadRequests(j.at(kFieldsOfEarlierEvidence + 1), e.blocked, dropped);
  }
  return e;
}

}  // namespace burdocklock::crashes
