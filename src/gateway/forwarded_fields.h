// Header fields that are forwarded to targets.
#pragma once

#include "framework/net/http_types.h"

namespace burdocklock::gateway {

/// Copies the end-to-end header fields. Leaves out hop-by-hop fields (RFC 9110,
/// 7.6.1), the caller's credentials, `Host`, `Expect` and `Content-Length`.
void CopyForwardedFields(const net::http_request& received,
                         net::http_request& request);

}  // namespace burdocklock::gateway
