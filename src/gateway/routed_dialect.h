// What the dialects of routes have in common: they differ in the names of
// header fields and in how a call and an answer are read.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/i_call_dialect.h"

namespace burdocklock::gateway {

/// Names of header fields.
struct call_fields {
  /// The caller's name of one try; targets repeat it in their answers.
  const char* name;
  /// How long the caller still waits, in milliseconds.
  const char* time_left;
  const char* customer;
  /// The target that is meant; another one at the address answers 421.
  const char* target;
  /// A stream goes on after this event.
  const char* resume_after;
  /// Another target, as "ip:port", that keeps part of the prompt.
  const char* copy_from;
  /// Further ones that only routers may set; dropped from callers' requests,
  /// as are `time_left`, `customer`, `target` and `copy_from`.
  std::vector<const char*> set_by_routers;
};

class routed_dialect : public i_call_dialect {
 public:
  [[nodiscard]] net::http_request BuildTargetRequest(
      const net::http_request& received,
      const call_identity& identity) const override;
  void Prepare(const attempt_terms& terms,
               net::http_request& request) const override;
  /// Streams are numbered events.
  [[nodiscard]] std::unique_ptr<i_stream_scanner> MakeScanner(
      const outgoing_call& call,
      const std::optional<std::string>& resume_after) const override;
  /// The head of an answer has named the request already.
  [[nodiscard]] answer_summary Summarise(const outgoing_call& call,
                                         unsigned status,
                                         std::string_view body) const override;
  [[nodiscard]] std::string_view name_field() const override {
    return fields_.name;
  }
  [[nodiscard]] bool announces_cuts() const override { return false; }

 protected:
  static constexpr unsigned kOtherTargetStatus = 421;

  explicit routed_dialect(call_fields fields);

  /// A target's own failure is passed on at once unless another target may
  /// still do better.
  [[nodiscard]] static head_verdict JudgeStatus(
      const net::http_response_head& head,
      const outgoing_call& call);

 private:
  call_fields fields_;
};

}  // namespace burdocklock::gateway
