// Parses JSON and CBOR from elsewhere. nlohmann::json parses CBOR, copies and
// formats values recursively, so the depth is bounded.
#pragma once

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace burdocklock {

/// Documents and messages nest less deeply; a fiber's stack holds many times
/// this number of levels.
inline constexpr std::size_t kMaxNesting = 64;

/// Parses JSON text. Throws std::exception if it is malformed or nests more
/// deeply than `kMaxNesting`.
nlohmann::json ParseText(std::string_view text);

/// As `ParseText`, but returns a discarded value instead of throwing.
nlohmann::json ParseTextOrDiscard(std::string_view text);

/// Parses CBOR. Throws std::exception if it is malformed or nests more deeply
/// than `kMaxNesting`.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace burdocklock
