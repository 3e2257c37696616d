// Aliases for Asio and Beast types, without the headers of the I/O operations.
#pragma once

#include <cstddef>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "framework/types/endpoint.h"

namespace burdocklock::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using tcp_stream =
    beast::basic_stream<asio::ip::tcp, asio::io_context::executor_type>;
using tcp_acceptor =
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type>;
using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

/// Longest name and longest value that `http::fields` holds; it throws at
/// longer ones.
inline constexpr std::size_t kMaxFieldBytes = 65'533;

/// Whether a request may have the body that it has: Beast throws at writing
/// TRACE with one, which HTTP forbids.
inline bool MayHaveBody(const http_request& request) {
  return request.method() != http::verb::trace || request.body().empty();
}

/// Converts to an Asio endpoint; the address must be valid.
inline asio::ip::tcp::endpoint ToTcp(const endpoint& endpoint) {
  return {asio::ip::make_address(endpoint.address), endpoint.port};
}

}  // namespace burdocklock::net
