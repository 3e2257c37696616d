// See the header.
#include "framework/net/internal/request_source.h"

#include <chrono>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "framework/fiber/use_fiber.h"

namespace burdocklock::net {

bool request_source::Wait() {
  const time_point deadline = deadline_();
  if (std::chrono::steady_clock::now() >= deadline) {
    return false;
  }
  asio::steady_timer timer(socket_.get_executor(), deadline);
  // Shared, as a handler that is already due runs after this function.
  const auto waiting = std::make_shared<bool>(true);
  timer.async_wait([this, waiting](const beast::error_code& ec) {
    if (!ec && *waiting) {
      beast::error_code ignored;
      socket_.cancel(ignored);
    }
  });
  // Whether the wait was cut short is seen by the next read.
  socket_.async_wait(asio::socket_base::wait_read, use_fiber);
  *waiting = false;
  return true;
}

}  // namespace burdocklock::net
