// What all interfaces for callers have in common: serving an accepted call and
// refusing one.
#pragma once

#include <string>

#include "framework/net/http_server.h"
#include "gateway/internal/attempt_runner.h"
#include "refusals/types/refusal.h"

namespace burdocklock::gateway {

class call_service {
 public:
  explicit call_service(traffic_context& context) : context_(context) {}

  /// Serves the call on the connection's fiber, until the caller has its answer
  /// or is gone. Refuses it if the daemon shuts down before the call could end.
  net::keep_alive Serve(net::http_connection& connection,
                        const net::http_request& request,
                        outgoing_call call);
  /// Numbers and records a refusal, then delivers it. `name` names the request
  /// to the caller.
  net::keep_alive Refuse(net::http_connection& connection,
                         const net::http_request& request,
                         const std::string& name,
                         refusals::refusal refusal);
  /// Refuses a request that could not be read.
  void RefuseUnread(net::http_connection& connection, error_code code);

 private:
  traffic_context& context_;
};

}  // namespace burdocklock::gateway
