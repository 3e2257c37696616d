// Suspends the calling fiber with an Asio timer.
#include "framework/fiber/sleep.h"

#include <boost/asio/steady_timer.hpp>

#include "framework/fiber/use_fiber.h"

namespace burdocklock {

void SleepFor(boost::asio::io_context& io, duration time) {
  boost::asio::steady_timer timer(io, time);
  timer.async_wait(use_fiber);
}

}  // namespace burdocklock
