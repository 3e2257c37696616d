// Fuzzes the decoders of platform documents.
#include "fuzz/fuzz_input.h"
#include "platform/announcement_decoder.h"
#include "platform/configuration_decoder.h"
#include "routes/configuration_checks.h"

namespace fuzz = burdocklock::fuzz;
namespace platform = burdocklock::platform;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text = fuzz::ToText(data, size);
  const auto read = platform::configuration_decoder().Read(text);
  if (read) {
    static_cast<void>(burdocklock::routes::Check(read.value()));
  }
  const auto heartbeat =
      platform::DecodeHeartbeat(burdocklock::target_id("t"), text);
  fuzz::Require(!heartbeat || heartbeat.value().slots > 0,
                "slots are positive");
  platform::DecodeFarewell(text);
  return 0;
}
