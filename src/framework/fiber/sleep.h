// Timed waits for fibers.
#pragma once

#include <boost/asio/io_context.hpp>

#include "framework/types/time.h"

namespace burdocklock {

/// Suspends the calling fiber for `time`; other fibers of the thread keep
/// running.
void SleepFor(boost::asio::io_context& io, duration time);

}  // namespace burdocklock
