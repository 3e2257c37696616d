// Load run: open loop, in which calls start on a schedule regardless of
// responses, or closed loop with a fixed concurrency.
#pragma once

#include <vector>

#include <boost/asio/io_context.hpp>

#include "load/types.h"

namespace burdocklock::load {

/// Runs on the thread of the calling fiber and returns when every call has
/// ended.
std::vector<call_record> RunLoad(boost::asio::io_context& io,
                                 const load_options& options);

}  // namespace burdocklock::load
