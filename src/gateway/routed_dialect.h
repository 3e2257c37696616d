// Common base of route dialects, which differ in header field names and in how
// calls and responses are parsed.
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
  /// Request ID of one try by the caller; targets echo it in their responses.
  const char* name;
  /// Remaining time until the caller's deadline, in milliseconds.
  const char* time_left;
  const char* customer;
  /// The intended target; any other target at the address responds with 421.
  const char* target;
  /// ID of the event after which a stream resumes.
  const char* resume_after;
  /// Another target, as "ip:port", that has part of the prompt cached.
  const char* copy_from;
  /// Requests per second that a target takes from all routers together, named
  /// in its responses.
  const char* rate_limit;
  /// "1" in the responses of a target that is about to end.
  const char* leaving;
  /// Further fields that only routers may set; removed from callers' requests,
  /// as are `time_left`, `customer`, `target` and `copy_from`.
  std::vector<const char*> set_by_routers;
};

class routed_dialect : public i_call_dialect {
 public:
  [[nodiscard]] net::http_request BuildTargetRequest(
      const net::http_request& received,
      const call_identity& identity) const override;
  void Prepare(const attempt_parameters& parameters,
               net::http_request& request) const override;
  [[nodiscard]] bool IsNamed(const net::http_response_head& head,
                             const outgoing_call& call) const override;
  /// A rate limit that is not a number, negative or too large is ignored. So is
  /// a Retry-After that is not a positive number of seconds; one that is too
  /// large is cut. Only with status 503 does it ask for a pause: with others it
  /// is about the one request.
  [[nodiscard]] routing::answer_head ReadAnswerHead(
      const net::http_response_head& head,
      time_point received) const override;
  /// Streams consist of numbered events.
  [[nodiscard]] std::unique_ptr<i_stream_scanner> MakeScanner(
      const outgoing_call& call,
      const std::optional<std::string>& resume_after) const override;
  /// Always matches: the response header has been checked already.
  [[nodiscard]] response_summary Summarise(
      const outgoing_call& call,
      unsigned status,
      std::string_view body) const override;
  [[nodiscard]] std::string_view request_id_field() const override {
    return fields_.name;
  }
  [[nodiscard]] bool signals_truncation() const override { return false; }

 protected:
  static constexpr unsigned kOtherTargetStatus = 421;

  explicit routed_dialect(call_fields fields);

  /// A server error is forwarded at once unless the call is repeatable, so that
  /// another target may serve it.
  [[nodiscard]] static head_verdict JudgeStatus(
      const net::http_response_head& head,
      const outgoing_call& call);

 private:
  call_fields fields_;
};

}  // namespace burdocklock::gateway
