// Client of the load generator: makes one call and checks the response.
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
  /// Unique word that the response must contain; also the idempotency key of an
  /// order.
  std::string nonce;
  /// Close the stream after this many tokens; 0 reads it to the end.
  std::uint32_t disconnect_after_tokens = 0;
};

/// Blocks the calling fiber until the call has ended. Connects `client` unless
/// `connected` is set. The connection can be used again if `client.Reusable()`.
call_record MakeCall(boost::asio::io_context& io,
                     const load_options& options,
                     const call_plan& plan,
                     net::http_client& client,
                     bool connected);

}  // namespace burdocklock::load
