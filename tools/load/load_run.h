// An open-loop run: calls start on a schedule that does not wait for answers.
#pragma once

#include <vector>

#include <boost/asio/io_context.hpp>

#include "load/types.h"

namespace burdocklock::load {

/// Runs on the calling fiber's thread and returns when every call has ended.
std::vector<call_record> RunLoad(boost::asio::io_context& io,
                                 const load_options& options);

}  // namespace burdocklock::load
