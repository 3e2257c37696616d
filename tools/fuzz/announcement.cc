// Fuzzes the parser of target announcements.
#include "fuzz/fuzz_input.h"
#include "targets/announcement_parser.h"

namespace fuzz = burdocklock::fuzz;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const auto parsed =
      burdocklock::targets::ParseAnnouncement(fuzz::ToText(data, size));
  if (parsed) {
    const auto& announcement = parsed.value();
    fuzz::Require(announcement.slots > 0, "slots are positive");
    fuzz::Require(announcement.cold_slots > 0 &&
                      announcement.cold_slots <= announcement.slots,
                  "cold slots are positive and at most the slots");
    fuzz::Require(!announcement.pools.empty(), "at least one pool is present");
  }
  return 0;
}
