// See the header.
#include "gateway/forwarded_fields.h"

#include <boost/beast/http/rfc7230.hpp>

namespace burdocklock::gateway {

namespace http = net::http;

namespace {

bool IsForwarded(const net::http_request::value_type& field,
                 http::token_list& connection_fields) {
  switch (field.name()) {
    case http::field::authorization:
    case http::field::connection:
    case http::field::content_length:
    case http::field::expect:
    case http::field::host:
    case http::field::keep_alive:
    case http::field::proxy_authorization:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
      return false;
    default:
      return !connection_fields.exists(field.name_string());
  }
}

}  // namespace

void CopyForwardedFields(const net::http_request& received,
                         net::http_request& request) {
  http::token_list connection_fields(received[http::field::connection]);
  for (const auto& field : received) {
    if (IsForwarded(field, connection_fields)) {
      request.insert(field.name_string(), field.value());
    }
  }
}

}  // namespace burdocklock::gateway
