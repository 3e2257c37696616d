// Timed waits of fibers.
#pragma once

#include <boost/asio/io_context.hpp>

#include "framework/types/time.h"

namespace burdocklock {

/// Suspends the calling fiber; the thread goes on with others.
void SleepFor(boost::asio::io_context& io, duration time);

}  // namespace burdocklock
