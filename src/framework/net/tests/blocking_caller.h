// A caller with one connection, which blocks its thread.
#pragma once

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "framework/net/http_types.h"
#include "framework/types/endpoint.h"

namespace burdocklock::net {

/// What came back for a request.
struct read_answer {
  /// 0 if no whole head came.
  unsigned status = 0;
  /// The body came to the end that the head names.
  bool whole = false;
  bool keep_alive = false;
  std::string keep_alive_field;
  std::string body;
};

class blocking_caller {
 public:
  explicit blocking_caller(const endpoint& server) {
    socket.connect(ToTcp(server));
  }

  /// Returns false if the connection is broken.
  bool Send(const std::string& bytes) {
    beast::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    return !ec;
  }
  read_answer Read() {
    beast::error_code ec;
    http::response_parser<http::string_body> parser;
    http::read(socket, buffer_, parser, ec);
    read_answer answer{.whole = !ec};
    if (parser.is_header_done()) {
      answer.status = parser.get().result_int();
      answer.keep_alive = parser.keep_alive();
      answer.keep_alive_field = parser.get()[http::field::keep_alive];
      answer.body = parser.get().body();
    }
    return answer;
  }
  /// Returns the status of the next whole answer, 0 if there is none.
  unsigned ReadStatus() {
    const read_answer answer = Read();
    return answer.whole ? answer.status : 0;
  }
  unsigned Ask(const std::string& bytes = "GET / HTTP/1.1\r\n\r\n") {
    Send(bytes);
    return ReadStatus();
  }

  asio::io_context io;
  asio::ip::tcp::socket socket{io};

 private:
  beast::flat_buffer buffer_;
};

}  // namespace burdocklock::net
