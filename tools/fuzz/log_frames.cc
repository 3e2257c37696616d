// Fuzzes the reader of the log file: the file's bytes as they are, and a sound
// file with one damaged byte.
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
                "the sound part lies within the file");
  const auto again = storage::ScanFrames(
      std::string_view(bytes).substr(0, scanned.value().valid_bytes));
  fuzz::Require(
      again.has_value() && again.value().payloads == scanned.value().payloads,
      "the sound part reads the same by itself");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string bytes = fuzz::ToText(data, size);
  CheckScan(bytes);
  std::string file;
  const std::size_t half = size / 2;
  storage::AppendFrame(bytes.substr(0, half), 0, file);
  const std::size_t synced = file.size();
  storage::AppendFrame(bytes.substr(half), synced, file);
  if (size > 0) {
    file[(data[0] * size) % file.size()] ^= 1;
    CheckScan(file);
  }
  return 0;
}
