// HTTP interface for callers, and for announcements from targets.
#pragma once

#include <string>

#include "framework/net/http_server.h"
#include "gateway/i_control.h"
#include "gateway/internal/attempt_runner.h"
#include "gateway/internal/call_service.h"
#include "gateway/types/gateway_options.h"

namespace burdocklock::gateway {

class caller_handler : public net::i_http_handler {
 public:
  caller_handler(traffic_context& context, const gateway_options& options);

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override;
  void OnBadRequest(net::http_connection& connection, error_code code) override;

 private:
  net::keep_alive HandleCall(net::http_connection& connection,
                             net::http_request& request);
  net::keep_alive HandleModels(net::http_connection& connection,
                               const net::http_request& request);
  net::keep_alive HandleAnnouncement(net::http_connection& connection,
                                     const net::http_request& request);
  net::keep_alive Reply(net::http_connection& connection,
                        const net::http_request& request,
                        unsigned status,
                        const std::string& content_type,
                        std::string body);
  net::keep_alive Refuse(net::http_connection& connection,
                         const net::http_request& request,
                         refusals::refusal refusal);

  traffic_context& context_;
  call_service calls_;
  const gateway_options& options_;
};

}  // namespace burdocklock::gateway
