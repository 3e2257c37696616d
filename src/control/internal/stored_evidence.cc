// See the header.
#include "control/stored_evidence.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "control/internal/evidence_codec.h"
#include "control/internal/message_age.h"
#include "framework/codec/bounded_parse.h"
#include "framework/codec/whole_number.h"

namespace burdocklock::control {

using nlohmann::json;

namespace {

// An array that begins with these members; later software may append others.
constexpr std::size_t kWallAt = 0;
constexpr std::size_t kRunningAt = 1;
constexpr std::size_t kBootAt = 2;
constexpr std::size_t kEvidenceAt = 3;
// Longest time that a wall clock is believed to have passed between two boots:
// the second block of a request, after which one trial tells more.
constexpr std::uint64_t kMaxWallMs = 60'000;

struct time_since {
  std::uint64_t ms = 0;
  bool is_known = false;
};

time_since TimeSince(const clock_reading& written, const clock_reading& now) {
  if (!now.boot.empty() && now.boot == written.boot &&
      now.running_ms >= written.running_ms) {
    return {.ms = now.running_ms - written.running_ms, .is_known = true};
  }
  if (now.wall_ms < written.wall_ms) {
    return {};
  }
  const std::uint64_t ms = now.wall_ms - written.wall_ms;
  return {.ms = std::min(ms, kMaxWallMs), .is_known = ms <= kMaxWallMs};
}

template <typename Entry>
void Age(std::vector<Entry>& entries, std::uint64_t ms) {
  for (Entry& entry : entries) {
    entry.age_ms = std::min(entry.age_ms + std::min(ms, kMaxAgeMs), kMaxAgeMs);
  }
}

crashes::evidence Read(const json& stored,
                       const clock_reading& now,
                       dropped_entries& dropped) {
  const clock_reading written{
      .wall_ms = ReadWhole<std::uint64_t>(stored.at(kWallAt)),
      .running_ms = ReadWhole<std::uint64_t>(stored.at(kRunningAt)),
      .boot = stored.at(kBootAt).get<std::string>()};
  crashes::evidence known =
      crashes::ReadEvidence(stored.at(kEvidenceAt), dropped);
  const time_since since = TimeSince(written, now);
  if (!since.is_known) {
    known.served.clear();
  }
  Age(known.ends, since.ms);
  Age(known.served, since.ms);
  Age(known.blocked, since.ms);
  return known;
}

}  // namespace

std::string EncodeStored(const crashes::evidence& known,
                         const clock_reading& written) {
  const json stored =
      json::array({written.wall_ms, written.running_ms, written.boot, known});
  std::string bytes;
  json::to_cbor(stored, bytes);
  return bytes;
}

result<crashes::evidence> DecodeStored(std::string_view bytes,
                                       const clock_reading& now,
                                       dropped_entries& dropped) {
  // nlohmann::json reports malformed input by exception only.
  try {
    return Read(ParseCbor(bytes), now, dropped);
  } catch (const std::exception& problem) {
    return error{.code = error_code::kMalformed,
                 .step = "read stored evidence",
                 .peer = {},
                 .detail = problem.what()};
  }
}

}  // namespace burdocklock::control
