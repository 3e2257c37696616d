// Serves HTTP on a thread of its own, for targets in tests.
#pragma once

#include <future>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"

namespace burdocklock::app {

/// Calls the handler on its thread, from construction to destruction.
class server_thread {
 public:
  explicit server_thread(net::i_http_handler& handler) {
    std::promise<endpoint> bound;
    thread_ = std::thread([this, &handler, &bound] {
      RunFiberThread(io_, [this, &handler, &bound] {
        net::http_server server(io_, {}, handler);
        bound.set_value(server.Start().value());
        stop_.Wait();
        server.Stop();
      });
    });
    address_ = bound.get_future().get();
  }
  ~server_thread() {
    boost::asio::post(io_, [this] { stop_.Set(); });
    thread_.join();
  }
  server_thread(const server_thread&) = delete;
  server_thread& operator=(const server_thread&) = delete;

  /// Refuses connections from then on. To be called on the thread.
  void Stop() { stop_.Set(); }
  [[nodiscard]] boost::asio::io_context& io() { return io_; }
  [[nodiscard]] const endpoint& address() const { return address_; }

 private:
  boost::asio::io_context io_{1};
  fiber_event stop_;
  endpoint address_;
  std::thread thread_;
};

}  // namespace burdocklock::app
