// Fuzzes the codec of messages between daemons.
#include "control/message_codec.h"
#include "fuzz/fuzz_input.h"

namespace control = burdocklock::control;
namespace fuzz = burdocklock::fuzz;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto message = control::Decode(fuzz::ToText(data, size));
  if (message) {
    const std::string encoded = control::Encode(message.value());
    const auto again = control::Decode(encoded);
    fuzz::Require(again.has_value(), "what is encoded can be decoded");
    fuzz::Require(control::Encode(again.value()) == encoded,
                  "the encoded form is stable");
  }
  return 0;
}
