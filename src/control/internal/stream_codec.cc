// See the header.
#include "control/internal/stream_codec.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <utility>

#include "control/types/message.h"
#include "framework/codec/cbor_types.h"
#include "streams/types/stream_limits.h"

namespace burdocklock::control {

using nlohmann::json;
using streams::kMaxRemaining;
using streams::stream_origin;
using streams::stream_record;

namespace {

using json_bytes = json::binary_t;

constexpr std::size_t kKeyBytes = 8;
constexpr unsigned kBitsPerByte = 8;
constexpr std::uint64_t kByteMask = 0xff;
// Time remaining is sent in one byte and rounded up.
constexpr std::chrono::milliseconds kRemainingUnit{1000};
constexpr auto kMaxRemainingUnits =
    static_cast<std::uint8_t>(kMaxRemaining / kRemainingUnit);

void AppendKey(stream_key key, json_bytes& out) {
  for (std::size_t i = kKeyBytes; i-- > 0;) {
    out.push_back(static_cast<std::uint8_t>(
        (key.value() >> (i * kBitsPerByte)) & kByteMask));
  }
}

std::uint8_t RemainingUnits(std::chrono::milliseconds remaining) {
  const auto within =
      std::clamp(remaining, std::chrono::milliseconds(0), kMaxRemaining);
  return static_cast<std::uint8_t>(
      (within + kRemainingUnit - std::chrono::milliseconds(1)) /
      kRemainingUnit);
}

// Records of one origin, whose names are sent once.
struct origin_group {
  stream_origin origin;
  std::vector<stream_key> keys;
  json_bytes remaining;
};

// There are few origins, so they are searched one by one.
std::vector<origin_group> GroupByOrigin(
    const std::vector<stream_record>& records) {
  std::vector<origin_group> groups;
  for (const stream_record& record : records) {
    auto group = std::find_if(
        groups.begin(), groups.end(),
        [&](const auto& known) { return known.origin == record.origin; });
    if (group == groups.end()) {
      group =
          groups.insert(groups.end(), origin_group{.origin = record.origin});
    }
    group->keys.push_back(record.key);
    group->remaining.push_back(RemainingUnits(record.remaining));
  }
  return groups;
}

stream_origin DecodeOrigin(const json& group) {
  stream_origin origin;
  group.at(0).get_to(origin.pool);
  group.at(1).get_to(origin.version);
  if (!streams::IsWithinLimits(origin)) {
    throw std::out_of_range("names of a stream's origin");
  }
  return origin;
}

}  // namespace

json EncodeKeys(const std::vector<stream_key>& keys) {
  json_bytes bytes;
  bytes.reserve(keys.size() * kKeyBytes);
  for (const stream_key key : keys) {
    AppendKey(key, bytes);
  }
  return json::binary(std::move(bytes));
}

std::vector<stream_key> DecodeKeys(const json& j) {
  const json_bytes& bytes = j.get_binary();
  if (bytes.size() % kKeyBytes != 0 ||
      bytes.size() / kKeyBytes > kMaxStreamsPerMessage) {
    throw std::out_of_range("stream keys");
  }
  std::vector<stream_key> keys;
  keys.reserve(bytes.size() / kKeyBytes);
  for (std::size_t start = 0; start < bytes.size(); start += kKeyBytes) {
    std::uint64_t key = 0;
    for (std::size_t i = 0; i < kKeyBytes; ++i) {
      key = key << kBitsPerByte | bytes[start + i];
    }
    keys.emplace_back(key);
  }
  return keys;
}

json EncodeRecords(const std::vector<stream_record>& records) {
  json groups = json::array();
  for (origin_group& group : GroupByOrigin(records)) {
    groups.push_back(json::array({group.origin.pool, group.origin.version,
                                  EncodeKeys(group.keys),
                                  json::binary(std::move(group.remaining))}));
  }
  return groups;
}

std::vector<stream_record> DecodeRecords(const json& groups) {
  if (!groups.is_array()) {
    throw std::invalid_argument("stream records");
  }
  std::vector<stream_record> records;
  for (const json& group : groups) {
    const stream_origin origin = DecodeOrigin(group);
    const std::vector<stream_key> keys = DecodeKeys(group.at(2));
    const json_bytes& remaining = group.at(3).get_binary();
    if (keys.empty() || remaining.size() != keys.size() ||
        records.size() + keys.size() > kMaxStreamsPerMessage) {
      throw std::out_of_range("stream records");
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
      records.push_back(
          {.key = keys[i],
           .origin = origin,
           .remaining =
               kRemainingUnit * std::min(remaining[i], kMaxRemainingUnits)});
    }
  }
  return records;
}

}  // namespace burdocklock::control
