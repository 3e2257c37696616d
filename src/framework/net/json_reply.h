// Answers of the interfaces for operators and targets.
#pragma once

#include <string>

#include "framework/net/http_server.h"

namespace burdocklock::net {

struct json_reply {
  http::status status = http::status::ok;
  std::string body = "{}";
  /// Where to send the request instead; empty if it is answered here.
  std::string location;
};

/// Writes the reply. `request` is the default one if it could not be read; the
/// connection is then closed.
keep_alive WriteReply(http_connection& connection,
                      const http_request& request,
                      json_reply reply);

}  // namespace burdocklock::net
