// Interface: protocol spoken with targets.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "framework/net/http_client.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "gateway/i_stream_scanner.h"
#include "routing/types/attempt.h"
#include "routing/types/request.h"

namespace burdocklock::gateway {

/// A call to be sent to a target.
struct outgoing_call {
  routing::request_spec spec;
  std::string request_name;
  net::http_request request;
  /// When the caller stops waiting.
  std::optional<time_point> deadline;
};

/// Parameters of one attempt.
struct attempt_parameters {
  target_id target;
  /// Remaining time until the caller's deadline.
  std::optional<duration> time_left;
  /// ID of the last event that the caller received; set when resuming.
  std::optional<std::string> resume_after;
  /// Another target, from which this one can copy part of the prompt.
  std::optional<endpoint> copy_from;
};

enum class head_verdict {
  /// The response to this request; forwarded to the caller.
  kAnswer,
  /// An error response to this request; forwarded to the caller only if no
  /// other target can serve the request.
  kFailure,
  /// An error response that is never forwarded to callers.
  kHiddenFailure,
  /// The target did not admit the request.
  kNotAdmitted,
  /// Another target runs at this address; it did not admit the request.
  kOtherTarget,
  /// The response to an earlier request on the same connection; the response
  /// to this request may follow.
  kOtherRequest,
  kMalformed,
};

/// Metadata read from the body of a non-streamed response.
struct response_summary {
  bool matches_request = false;
  std::optional<routing::usage> reported_usage;
};

class i_target_dialect {
 public:
  virtual ~i_target_dialect() = default;

  /// Sets the header fields that differ between attempts.
  virtual void Prepare(const attempt_parameters& parameters,
                       net::http_request& request) const = 0;
  [[nodiscard]] virtual head_verdict Judge(const net::http_response_head& head,
                                           const outgoing_call& call) const = 0;
  /// True if the response names this request.
  [[nodiscard]] virtual bool IsNamed(const net::http_response_head& head,
                                     const outgoing_call& call) const = 0;
  /// Reads what a response that arrived at `received` says of its target.
  [[nodiscard]] virtual routing::answer_head ReadAnswerHead(
      const net::http_response_head& head,
      time_point received) const = 0;
  [[nodiscard]] virtual std::unique_ptr<i_stream_scanner> MakeScanner(
      const outgoing_call& call,
      const std::optional<std::string>& resume_after) const = 0;
  /// Reads the metadata of a non-streamed response.
  [[nodiscard]] virtual response_summary Summarise(
      const outgoing_call& call,
      unsigned status,
      std::string_view body) const = 0;
  /// Header field that carries the request ID in responses to callers.
  [[nodiscard]] virtual std::string_view request_id_field() const = 0;
  /// True if a truncated stream ends with an error event.
  [[nodiscard]] virtual bool signals_truncation() const = 0;
  /// True if callers accept fractional seconds in Retry-After.
  [[nodiscard]] virtual bool fractional_retry_after() const = 0;
};

}  // namespace burdocklock::gateway
