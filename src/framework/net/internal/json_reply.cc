// Writes JSON replies to HTTP connections.
#include "framework/net/json_reply.h"

#include <utility>

namespace burdocklock::net {

keep_alive WriteReply(http_connection& connection,
                      const http_request& request,
                      json_reply reply) {
  http_response response(reply.status, request.version());
  response.set(http::field::content_type, "application/json");
  if (!reply.location.empty()) {
    response.set(http::field::location, reply.location);
  }
  const bool keep =
      request.method() != http::verb::unknown && request.keep_alive();
  response.keep_alive(keep);
  response.body() = std::move(reply.body);
  const bool written = connection.Write(response);
  return written && keep ? keep_alive::kYes : keep_alive::kNo;
}

http::status StatusOfUnread(error_code reason) {
  if (reason == error_code::kTooLarge) {
    return http::status::payload_too_large;
  }
  return reason == error_code::kNoResources ? http::status::service_unavailable
                                            : http::status::bad_request;
}

}  // namespace burdocklock::net
