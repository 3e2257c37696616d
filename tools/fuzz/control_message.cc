// Fuzzes the codec of control messages between daemons.
#include "control/message_codec.h"
#include "fuzz/fuzz_input.h"

namespace control = burdocklock::control;
namespace fuzz = burdocklock::fuzz;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto message = control::Decode(fuzz::ToText(data, size));
  if (message) {
    const std::string encoded = control::Encode(message.value());
    const auto decoded = control::Decode(encoded);
    fuzz::Require(decoded.has_value(), "an encoded message can be decoded");
    fuzz::Require(control::Encode(decoded.value()) == encoded,
                  "decoding and encoding again yields the same bytes");
  }
  return 0;
}
