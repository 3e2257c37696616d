// Computes rendezvous hashing weights with XXH3.
#include "targets/rendezvous.h"

#include <xxhash.h>

namespace burdocklock::targets {

std::uint64_t RendezvousWeight(std::string_view key, std::string_view name) {
  return RendezvousWeight(XXH3_64bits(key.data(), key.size()), name);
}

std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view name) {
  return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

}  // namespace burdocklock::targets
