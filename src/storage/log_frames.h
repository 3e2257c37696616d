// Framing of the log file: each record is stored with a checksum.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "framework/types/error.h"

namespace burdocklock::storage {

/// Appends a frame to `out`. `synced` is the length of the file that was synced
/// when the frame was written.
void AppendFrame(std::string_view payload,
                 std::uint64_t synced,
                 std::string& out);

struct scanned_frames {
  std::vector<std::string_view> payloads;
  /// Length of the valid part; the rest was torn by a power loss.
  std::size_t valid_bytes = 0;
};

/// Reads all frames of a file. A damaged tail that was never synced is left
/// out; fails with kMalformed if the damage lies in a part that had been
/// synced.
result<scanned_frames> ScanFrames(std::string_view bytes);

}  // namespace burdocklock::storage
