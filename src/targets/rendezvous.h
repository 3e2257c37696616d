// Rendezvous hashing: all hosts with the same set of names rank them equally
// for a key, and adding or removing a name reassigns only the keys of that
// name.
#pragma once

#include <cstdint>
#include <string_view>

namespace burdocklock::targets {

/// Returns the weight of `name` for `key`; names rank by descending weight.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view name);
std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view name);

/// Returns the place of `name` for `key` between 0 and 1, spread evenly.
double RendezvousPlace(std::string_view key, std::string_view name);
double RendezvousPlace(std::uint64_t key, std::string_view name);

}  // namespace burdocklock::targets
