// Common to all caller interfaces: serves accepted calls and sends refusals.
#pragma once

#include <optional>
#include <string>

#include "framework/net/http_server.h"
#include "gateway/internal/attempt_runner.h"
#include "gateway/internal/counted_call.h"
#include "refusals/types/refusal.h"

namespace burdocklock::gateway {

class call_service {
 public:
  explicit call_service(traffic_context& context) : context_(context) {}

  /// Turns a call away whose caller has left, which might not end in time while
  /// the daemon is shutting down, or for which the processor has no time: then
  /// `admitted` stays empty. All others must be served. To be asked before work
  /// is spent on the call.
  net::keep_alive Admit(net::http_connection& connection,
                        const net::http_request& request,
                        const routing::request_spec& spec,
                        const std::string& name,
                        std::optional<counted_call>& admitted);
  /// Refuses a call for which there are no means, if it comes on a new
  /// connection; false if it is to be handled as usual.
  bool RefuseAtOnce(net::http_connection& connection,
                    const net::http_request& request,
                    const routing::request_spec& spec,
                    const std::string& name);
  /// Serves an admitted call on the connection's fiber until the response is
  /// written or the caller disconnects.
  /// The body of `request` is released.
  net::keep_alive Serve(net::http_connection& connection,
                        net::http_request& request,
                        outgoing_call call);
  /// Assigns an ID to a refusal, sends it and has it recorded. `name` is the
  /// request ID shown to the caller.
  net::keep_alive Refuse(net::http_connection& connection,
                         const net::http_request& request,
                         const std::string& name,
                         refusals::refusal refusal);
  /// Refuses a request that could not be parsed.
  void RefuseUnread(net::http_connection& connection, error_code code);

 private:
  traffic_context& context_;
};

}  // namespace burdocklock::gateway
