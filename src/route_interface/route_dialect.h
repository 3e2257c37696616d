// The header fields of callers on routes and of the targets behind them.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/i_call_dialect.h"

namespace burdocklock::route_interface {

/// docs/operations/routes.md lists the fields.
class route_dialect : public gateway::i_call_dialect {
 public:
  [[nodiscard]] result<gateway::call_facts> ReadCall(
      const net::http_request& request) const override;
  [[nodiscard]] net::http_request BuildTargetRequest(
      const net::http_request& received,
      const gateway::call_identity& identity) const override;

  void Prepare(const gateway::attempt_terms& terms,
               net::http_request& request) const override;
  [[nodiscard]] gateway::head_verdict Judge(
      const net::http_response_head& head,
      const gateway::outgoing_call& call) const override;
  [[nodiscard]] std::unique_ptr<gateway::i_stream_scanner> MakeScanner(
      const gateway::outgoing_call& call,
      const std::optional<std::string>& resume_after) const override;
  [[nodiscard]] gateway::answer_summary Summarise(
      const gateway::outgoing_call& call,
      unsigned status,
      std::string_view body) const override;
  [[nodiscard]] std::string_view name_field() const override;
  [[nodiscard]] bool announces_cuts() const override { return false; }
  [[nodiscard]] bool fractional_retry_after() const override { return false; }
};

}  // namespace burdocklock::route_interface
