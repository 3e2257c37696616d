// Hashing and comparison of API keys and tokens.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "config/types/sheet.h"

namespace burdocklock::config {

/// SHA-256 of `secret`.
key_hash HashKey(std::string_view secret);

/// Formats the hash as lower-case hexadecimal digits.
std::string FormatKeyHash(const key_hash& hash);
/// Parses 64 hexadecimal digits; returns nullopt for anything else.
std::optional<key_hash> ParseKeyHash(std::string_view text);

/// Compares in constant time.
bool KeysEqual(const key_hash& a, const key_hash& b);
/// Returns whether `accepted` contains `hash`, in time independent of its
/// position.
bool IsAcceptedKey(const key_hash& hash, std::span<const key_hash> accepted);

}  // namespace burdocklock::config
