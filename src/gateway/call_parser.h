// Parses callers' HTTP requests into routable calls or rejections.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "config/sheet_index.h"
#include "framework/types/ids.h"
#include "refusals/types/refusal.h"
#include "routing/types/request.h"

namespace burdocklock::gateway {

/// The parts of an HTTP request that determine its routing.
struct call_input {
  std::string_view method;
  /// Path and query as received.
  std::string_view path;
  std::string_view authorization;
  std::string_view body;
};

/// A valid call; `spec.id` is not set yet.
struct parsed_call {
  routing::request_spec spec;
  /// Path and query to request from the target.
  std::string target_path;
};

struct rejected_call {
  customer_id customer;
  refusals::refusal_reason reason = refusals::refusal_reason::kMalformedRequest;
  std::string detail;
};

using call_result = std::variant<parsed_call, rejected_call>;

/// Authenticates the caller and validates the request.
call_result ParseCall(const call_input& input,
                      const config::sheet_index& sheet);

/// The token of a bearer `Authorization` header; empty if there is none.
std::string_view BearerToken(std::string_view authorization);

/// True if the path is in canonical form. Other forms are rejected so that
/// path rules cannot be bypassed with an equivalent spelling.
bool IsCanonicalPath(std::string_view path);

}  // namespace burdocklock::gateway
