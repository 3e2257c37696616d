// HTTP header fields exchanged with callers of routes and with targets.
#pragma once

#include "gateway/routed_dialect.h"

namespace burdocklock::route_interface {

/// The fields are documented in docs/operations/routes.md.
class route_dialect : public gateway::routed_dialect {
 public:
  route_dialect();

  [[nodiscard]] result<gateway::call_facts> ReadCall(
      const net::http_request& request) const override;
  [[nodiscard]] gateway::head_verdict Judge(
      const net::http_response_head& head,
      const gateway::outgoing_call& call) const override;
  [[nodiscard]] bool fractional_retry_after() const override { return false; }
};

}  // namespace burdocklock::route_interface
