// A server that does what a test tells it on one connection, over loopback.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <thread>

#include <boost/asio/ip/tcp.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/net/http_client.h"

namespace burdocklock::net {

class scripted_server {
 public:
  /// Fetches from this server, which calls `serve` with the connection on a
  /// thread of its own.
  result<http_reply> FetchWhile(
      const std::function<void(asio::ip::tcp::socket& socket)>& serve) {
    std::thread server([&] {
      asio::ip::tcp::socket socket = acceptor_.accept();
      serve(socket);
    });
    const endpoint peer{.port = acceptor_.local_endpoint().port()};
    // Must outlive its thread because the thread's scheduler refers to it.
    asio::io_context io{1};
    std::optional<result<http_reply>> reply;
    std::thread client([&] {
      RunFiberThread(io, [&] {
        reply = Fetch(io, peer, http_request(http::verb::get, "/", 11),
                      std::chrono::seconds(20));
      });
    });
    client.join();
    server.join();
    return *reply;
  }

 private:
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_{io_, {asio::ip::address_v4::loopback(), 0}};
};

}  // namespace burdocklock::net
