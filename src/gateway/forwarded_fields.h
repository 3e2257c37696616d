// Fields of a request that are passed on to targets.
#pragma once

#include "framework/net/http_types.h"

namespace burdocklock::gateway {

/// Copies the fields that concern the whole way to the target: not those of one
/// connection (RFC 9110, 7.6.1), nor the caller's secrets, nor the length.
void CopyForwardedFields(const net::http_request& received,
                         net::http_request& request);

}  // namespace burdocklock::gateway
