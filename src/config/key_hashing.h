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
/// Whether this is the hash of an empty secret, as a variable without a value
/// gives: everybody who sends no secret would have it.
bool IsHashOfEmpty(const key_hash& hash);
/// Returns whether `accepted` contains the hash of `secret`, in time
/// independent of its position. An empty secret is never accepted.
bool IsAcceptedSecret(std::string_view secret,
                      std::span<const key_hash> accepted);

}  // namespace burdocklock::config
