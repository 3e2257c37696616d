// Fuzzes the log file reader with arbitrary bytes and with a valid file in
// which one bit is flipped.
#include "storage/log_frames.h"
#include "fuzz/fuzz_input.h"

namespace fuzz = burdocklock::fuzz;
namespace storage = burdocklock::storage;

namespace {

void CheckScan(const std::string& bytes) {
  const auto scanned = storage::ScanFrames(bytes);
  if (!scanned) {
    return;
  }
  fuzz::Require(scanned.value().valid_bytes <= bytes.size(),
                "the valid part is not longer than the file");
  const auto rescanned = storage::ScanFrames(
      std::string_view(bytes).substr(0, scanned.value().valid_bytes));
  fuzz::Require(rescanned.has_value() &&
                    rescanned.value().payloads == scanned.value().payloads,
                "scanning only the valid part yields the same payloads");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string bytes = fuzz::ToText(data, size);
  CheckScan(bytes);
  std::string file;
  const std::size_t half = size / 2;
  storage::AppendFrame(bytes.substr(0, half), 0, file);
  const std::size_t first_frame_end = file.size();
  storage::AppendFrame(bytes.substr(half), first_frame_end, file);
  if (size > 0) {
    file[(data[0] * size) % file.size()] ^= 1;
    CheckScan(file);
  }
  return 0;
}
