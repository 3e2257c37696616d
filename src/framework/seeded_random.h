// Pseudo-random numbers from Boost.Random with an explicit seed.
#pragma once

#include <cstdint>

#include <boost/random/taus88.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "framework/i_random.h"

namespace burdocklock {

class seeded_random : public i_random {
 public:
  explicit seeded_random(std::uint32_t seed) : engine_(seed) {}

  std::uint32_t Below(std::uint32_t bound) override {
    return boost::random::uniform_int_distribution<std::uint32_t>(
        0, bound - 1)(engine_);
  }

 private:
  boost::random::taus88 engine_;
};

}  // namespace burdocklock
