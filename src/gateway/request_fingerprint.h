// Recognises a request that is repeated whole under a new id.
#pragma once

#include <optional>
#include <string_view>

#include "framework/types/ids.h"
#include "targets/types/prompt.h"

namespace burdocklock::gateway {

/// What the requests of one customer are told apart by.
struct request_content {
  std::string_view method;
  /// Path and query.
  std::string_view path;
  std::string_view body;
  /// Described beside the body; null if there is none.
  const targets::prompt* prompt = nullptr;
};

/// A cryptographic hash: no customer can construct a request with the
/// fingerprint of another customer's. Absent if it could not be computed.
[[nodiscard]] std::optional<request_fingerprint> FingerprintOf(
    const customer_id& customer,
    const request_content& content);

/// Identifies a stream by its caller's first try, in the same way. Absent if it
/// could not be computed.
[[nodiscard]] std::optional<stream_key> StreamKeyOf(
    const customer_id& customer,
    std::string_view request_name);

}  // namespace burdocklock::gateway
