// Frame layout: magic, payload length, checksum, synced length, payload.
// Numbers are little-endian; the checksum is a CRC-32 over synced length and
// payload.
#include "storage/log_frames.h"

#include <optional>

#include <boost/crc.hpp>

namespace burdocklock::storage {

namespace {

constexpr std::string_view kMagic = "blq1";
constexpr std::size_t kLengthOffset = 4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kSyncedOffset = 12;
constexpr std::size_t kHeaderBytes = 20;

template <typename T>
void AppendNumber(T value, std::string& out) {
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out.push_back(static_cast<char>(value >> (8 * i)));
  }
}

template <typename T>
T ReadNumber(std::string_view bytes) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<T>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  }
  return value;
}

std::uint32_t Checksum(std::string_view synced, std::string_view payload) {
  boost::crc_32_type crc;
  crc.process_bytes(synced.data(), synced.size());
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

struct frame {
  std::string_view payload;
  std::uint64_t synced = 0;
  std::size_t size = 0;
};

std::optional<frame> ReadFrame(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || !bytes.starts_with(kMagic)) {
    return std::nullopt;
  }
  const auto length = ReadNumber<std::uint32_t>(bytes.substr(kLengthOffset));
  if (bytes.size() - kHeaderBytes < length) {
    return std::nullopt;
  }
  const std::string_view payload = bytes.substr(kHeaderBytes, length);
  const std::string_view synced =
      bytes.substr(kSyncedOffset, kHeaderBytes - kSyncedOffset);
  if (ReadNumber<std::uint32_t>(bytes.substr(kChecksumOffset)) !=
      Checksum(synced, payload)) {
    return std::nullopt;
  }
  return frame{.payload = payload,
               .synced = ReadNumber<std::uint64_t>(synced),
               .size = kHeaderBytes + length};
}

// True if a valid frame after `damaged` records a synced length beyond it,
// which means that the damage is not a torn write.
bool WasSynced(std::string_view bytes, std::size_t damaged) {
  std::size_t offset = bytes.find(kMagic, damaged + 1);
  while (offset != std::string_view::npos) {
    const auto later = ReadFrame(bytes.substr(offset));
    if (later && later->synced > damaged) {
      return true;
    }
    offset = bytes.find(kMagic, offset + 1);
  }
  return false;
}

}  // namespace

void AppendFrame(std::string_view payload,
                 std::uint64_t synced,
                 std::string& out) {
  std::string synced_bytes;
  AppendNumber(synced, synced_bytes);
  out += kMagic;
  AppendNumber(static_cast<std::uint32_t>(payload.size()), out);
  AppendNumber(Checksum(synced_bytes, payload), out);
  out += synced_bytes;
  out += payload;
}

result<scanned_frames> ScanFrames(std::string_view bytes) {
  scanned_frames scanned;
  while (scanned.valid_bytes < bytes.size()) {
    const auto next = ReadFrame(bytes.substr(scanned.valid_bytes));
    if (!next) {
      if (WasSynced(bytes, scanned.valid_bytes)) {
        return error{.code = error_code::kMalformed,
                     .step = "read log",
                     .peer = {},
                     .detail = "invalid frame at byte " +
                               std::to_string(scanned.valid_bytes) +
                               ", in a part that had been synced"};
      }
      break;
    }
    scanned.payloads.push_back(next->payload);
    scanned.valid_bytes += next->size;
  }
  return scanned;
}

}  // namespace burdocklock::storage
