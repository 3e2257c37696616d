// One caller: makes one call and checks the answer.
#pragma once

#include <string>

#include <boost/asio/io_context.hpp>

#include "framework/net/http_client.h"
#include "load/types.h"

namespace burdocklock::load {

struct call_plan {
  call_type type = call_type::kStream;
  std::string customer;
  std::string key;
  endpoint host;
  /// Unique word that the answer must repeat; the key of an order.
  std::string nonce;
  /// Leave after this many tokens; zero to stay.
  std::uint32_t leave_after = 0;
};

/// Blocks the calling fiber until the call has ended. `client` is connected if
/// it is not yet, and stays usable if `client.Reusable()`.
call_record MakeCall(boost::asio::io_context& io,
                     const load_options& options,
                     const call_plan& plan,
                     net::http_client& client,
                     bool connected);

}  // namespace burdocklock::load
