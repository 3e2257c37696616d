// Fuzzes the codec of log records.
#include "fuzz/fuzz_input.h"
#include "quorum/quorum_codec.h"

namespace fuzz = burdocklock::fuzz;
namespace quorum = burdocklock::quorum;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto record = quorum::DecodeRecord(fuzz::ToText(data, size));
  if (record) {
    const std::string encoded = quorum::EncodeRecord(record.value());
    const auto decoded = quorum::DecodeRecord(encoded);
    fuzz::Require(decoded.has_value(), "an encoded record can be decoded");
    fuzz::Require(quorum::EncodeRecord(decoded.value()) == encoded,
                  "decoding and encoding again yields the same bytes");
  }
  return 0;
}
