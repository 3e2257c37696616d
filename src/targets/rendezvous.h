// Rendezvous hashing: everybody who knows the same names agrees on who comes
// first for a key, and a name that comes or goes moves only its own keys.
#pragma once

#include <cstdint>
#include <string_view>

namespace burdocklock::targets {

/// Weight of `name` for `key`; the largest comes first.
std::uint64_t RendezvousWeight(std::string_view key, std::string_view name);
std::uint64_t RendezvousWeight(std::uint64_t key, std::string_view name);

}  // namespace burdocklock::targets
