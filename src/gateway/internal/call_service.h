// Common to all caller interfaces: serves accepted calls and sends refusals.
#pragma once

#include <string>

#include "framework/net/http_server.h"
#include "gateway/internal/attempt_runner.h"
#include "refusals/types/refusal.h"

namespace burdocklock::gateway {

class call_service {
 public:
  explicit call_service(traffic_context& context) : context_(context) {}

  /// Serves the call on the connection's fiber until the response is written or
  /// the caller disconnects. Refuses it if the daemon is shutting down and the
  /// call might not end in time, or if the processor has no time for it.
  net::keep_alive Serve(net::http_connection& connection,
                        const net::http_request& request,
                        outgoing_call call);
  /// Assigns an ID to a refusal, records it and sends it. `name` is the request
  /// ID shown to the caller.
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
