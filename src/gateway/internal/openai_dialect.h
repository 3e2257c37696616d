// Target protocol of the OpenAI-style interface and of plain services.
#pragma once

#include "gateway/i_target_dialect.h"

namespace burdocklock::gateway {

class openai_dialect : public i_target_dialect {
 public:
  void Prepare(const attempt_parameters& parameters,
               net::http_request& request) const override;
  [[nodiscard]] head_verdict Judge(const net::http_response_head& head,
                                   const outgoing_call& call) const override;
  [[nodiscard]] bool IsNamed(const net::http_response_head& head,
                             const outgoing_call& call) const override;
  /// This protocol has no such fields.
  [[nodiscard]] routing::answer_head ReadAnswerHead(
      const net::http_response_head&,
      time_point received) const override {
    return {.received = received};
  }
  [[nodiscard]] std::unique_ptr<i_stream_scanner> MakeScanner(
      const outgoing_call& call,
      const std::optional<std::string>& resume_after) const override;
  [[nodiscard]] response_summary Summarise(
      const outgoing_call& call,
      unsigned status,
      std::string_view body) const override;
  [[nodiscard]] std::string_view request_id_field() const override;
  [[nodiscard]] bool signals_truncation() const override { return true; }
  [[nodiscard]] bool fractional_retry_after() const override { return false; }
};

}  // namespace burdocklock::gateway
