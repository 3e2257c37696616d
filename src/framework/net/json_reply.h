// JSON responses of the operator and target interfaces.
#pragma once

#include <string>

#include "framework/net/http_server.h"

namespace burdocklock::net {

struct json_reply {
  http::status status = http::status::ok;
  std::string body = "{}";
  /// Value of the Location field of a redirect; empty for other responses.
  std::string location;
};

/// Writes the reply. If the request could not be read, pass a
/// default-constructed `request`; the connection is then closed.
keep_alive WriteReply(http_connection& connection,
                      const http_request& request,
                      json_reply reply);

/// Status of the reply to a request that could not be read for `reason`, as
/// passed to `i_http_handler::OnBadRequest`.
http::status StatusOfUnread(error_code reason);

}  // namespace burdocklock::net
