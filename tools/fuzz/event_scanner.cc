// Fuzzes the scanner of numbered events: it must release a prefix of the
// stream, and the same prefix however the stream is split into chunks.
#include <optional>

#include "fuzz/fuzz_input.h"
#include "gateway/numbered_event_scanner.h"

namespace fuzz = burdocklock::fuzz;

using burdocklock::gateway::numbered_event_scanner;

namespace {

std::string ReleasedBytes(const std::string& stream, std::size_t chunk_size) {
  numbered_event_scanner scanner(std::nullopt);
  std::string released;
  for (std::size_t offset = 0; offset < stream.size(); offset += chunk_size) {
    released +=
        scanner.Feed(std::string_view(stream).substr(offset, chunk_size));
  }
  return released;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size < 2) {
    return 0;
  }
  const std::string stream = fuzz::ToText(data + 1, size - 1);
  const std::string whole = ReleasedBytes(stream, stream.size());
  fuzz::Require(stream.starts_with(whole),
                "the released bytes are a prefix of the stream");
  fuzz::Require(ReleasedBytes(stream, 1 + data[0]) == whole,
                "the released bytes do not depend on the chunk size");
  return 0;
}
