// See the header.
#include "app/readiness_handler.h"

#include "framework/net/json_reply.h"

namespace burdocklock::app {

namespace http = net::http;

net::keep_alive readiness_handler::Handle(net::http_connection& connection,
                                          net::http_request& request) {
  if (request.target() != path_) {
    return net::WriteReply(connection, request,
                           {.status = http::status::not_found});
  }
  return net::WriteReply(
      connection, request,
      {.status =
           is_ready_() ? http::status::ok : http::status::service_unavailable});
}

void readiness_handler::OnBadRequest(net::http_connection& connection,
                                     error_code) {
  net::WriteReply(connection, {}, {.status = http::status::bad_request});
}

}  // namespace burdocklock::app
