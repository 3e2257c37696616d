// Serves callers according to the routing configuration.
#pragma once

#include "framework/net/http_server.h"
#include "gateway/i_call_dialect.h"
#include "gateway/internal/call_service.h"
#include "routes/route_index.h"

namespace burdocklock::gateway {

class routed_handler : public net::i_http_handler {
 public:
  routed_handler(traffic_context& context, const i_call_dialect& dialect)
      : context_(context), calls_(context), dialect_(dialect) {}

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override;
  void OnBadRequest(net::http_connection& connection, error_code code) override;
  [[nodiscard]] bool refuses_at_once() const override { return true; }
  bool RefuseAtOnce(net::http_connection& connection,
                    net::http_request& request) override;

 private:
  traffic_context& context_;
  call_service calls_;
  const i_call_dialect& dialect_;
};

/// Builds the specification of a call on a route; `id` is not set.
routing::request_spec BuildRequestSpec(const routes::route& route,
                                       const customer_id& customer,
                                       const call_facts& facts);

}  // namespace burdocklock::gateway
