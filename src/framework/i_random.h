// Interface to the random number generator of the decision modules.
#pragma once

#include <cstdint>

namespace burdocklock {

class i_random {
 public:
  virtual ~i_random() = default;

  /// Returns a uniformly distributed integer in [0, bound); `bound` must be
  /// positive.
  virtual std::uint32_t Below(std::uint32_t bound) = 0;
};

}  // namespace burdocklock
