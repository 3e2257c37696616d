// Turns callers' HTTP requests into calls, or into the reason why not.
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

/// The parts of an HTTP request that decide where it goes.
struct call_input {
  std::string_view method;
  /// Path and query as received.
  std::string_view path;
  std::string_view authorization;
  std::string_view body;
};

/// A call that may be routed; `id` of the specification is not set.
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

/// Authenticates the caller and checks what it asks for.
call_result ParseCall(const call_input& input,
                      const config::sheet_index& sheet);

/// The secret of a bearer token header; empty if there is none.
std::string_view BearerToken(std::string_view authorization);

/// True for paths that have one spelling only, so that rules on paths cannot
/// be evaded by another spelling of the same path.
bool IsCanonicalPath(std::string_view path);

}  // namespace burdocklock::gateway
