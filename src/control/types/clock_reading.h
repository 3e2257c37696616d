// What a host's clocks show.
#pragma once

#include <cstdint>
#include <string>

namespace burdocklock::control {

struct clock_reading {
  /// Since the epoch; may be set back or forward at any time.
  std::uint64_t wall_ms = 0;
  /// Since the host booted; never set.
  std::uint64_t running_ms = 0;
  /// Differs between boots of a host; empty if it is not known.
  std::string boot;
};

}  // namespace burdocklock::control
