// Computes rendezvous hashing weights with XXH3.
#include "targets/rendezvous.h"

#include <xxhash.h>

namespace burdocklock::targets {

namespace {

double PlaceOf(std::uint64_t weight) {
  constexpr std::uint64_t kSteps = 1024;
  return static_cast<double>(weight % kSteps) / kSteps;
}

}  // namespace

std::uint64_t RendezvousWeight(std::string_view key, std::string_view name) {
  return RendezvousWeight(XXH3_64bits(key.data(), key.size()), name);
}

std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view name) {
  return XXH3_64bits_withSeed(name.data(), name.size(), key);
}

double RendezvousPlace(std::string_view key, std::string_view name) {
  return PlaceOf(RendezvousWeight(key, name));
}

double RendezvousPlace(std::uint64_t key, std::string_view name) {
  return PlaceOf(RendezvousWeight(key, name));
}

}  // namespace burdocklock::targets
