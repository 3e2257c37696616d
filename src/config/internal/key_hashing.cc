#include "config/key_hashing.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <boost/algorithm/hex.hpp>

namespace burdocklock::config {

key_hash HashKey(std::string_view secret) {
  key_hash hash{};
  unsigned int length = 0;
  EVP_Digest(secret.data(), secret.size(), hash.data(), &length, EVP_sha256(),
             nullptr);
  return hash;
}

std::string FormatKeyHash(const key_hash& hash) {
  std::string text;
  boost::algorithm::hex_lower(hash.begin(), hash.end(),
                              std::back_inserter(text));
  return text;
}

std::optional<key_hash> ParseKeyHash(std::string_view text) {
  key_hash hash{};
  if (text.size() != 2 * hash.size()) {
    return std::nullopt;
  }
  try {
    boost::algorithm::unhex(text.begin(), text.end(), hash.begin());
  } catch (const boost::algorithm::hex_decode_error&) {
    return std::nullopt;
  }
  return hash;
}

bool KeysEqual(const key_hash& a, const key_hash& b) {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool IsHashOfEmpty(const key_hash& hash) {
  return KeysEqual(hash, HashKey(""));
}

bool IsAcceptedSecret(std::string_view secret,
                      std::span<const key_hash> accepted) {
  if (secret.empty()) {
    return false;
  }
  const key_hash hash = HashKey(secret);
  bool found = false;
  for (const key_hash& candidate : accepted) {
    found |= KeysEqual(hash, candidate);
  }
  return found;
}

}  // namespace burdocklock::config
