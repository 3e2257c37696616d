// Fuzzes the scanner of numbered events: however a stream is cut into pieces,
// it releases a prefix of it, the same in all cuts.
#include <optional>

#include "fuzz/fuzz_input.h"
#include "gateway/numbered_event_scanner.h"

namespace fuzz = burdocklock::fuzz;

using burdocklock::gateway::numbered_event_scanner;

namespace {

std::string Released(const std::string& stream, std::size_t piece) {
  numbered_event_scanner scanner(std::nullopt);
  std::string released;
  for (std::size_t at = 0; at < stream.size(); at += piece) {
    released += scanner.Feed(std::string_view(stream).substr(at, piece));
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
  const std::string whole = Released(stream, stream.size());
  fuzz::Require(stream.starts_with(whole), "a prefix is released");
  fuzz::Require(Released(stream, 1 + data[0]) == whole,
                "pieces make no difference");
  return 0;
}
