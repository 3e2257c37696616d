// Port: how targets are spoken to, and what their answers mean.
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

/// What is sent to the target.
struct outgoing_call {
  routing::request_spec spec;
  std::string request_name;
  net::http_request request;
  /// When the caller ceases to wait.
  std::optional<time_point> deadline;
};

/// What one attempt adds to the call.
struct attempt_terms {
  target_id target;
  /// What is left of the caller's time.
  std::optional<duration> time_left;
  /// Id of the last event that the caller has; set if the stream is resumed.
  std::optional<std::string> resume_after;
  /// Another target, from which this one can copy part of the prompt.
  std::optional<endpoint> copy_from;
};

enum class head_verdict {
  /// The answer to this request, to be passed on.
  kAnswer,
  /// The answer to this request is a failure of the target, to be passed on
  /// only if no other target can do better.
  kFailure,
  /// A failure that callers are not to see.
  kHiddenFailure,
  /// The target did not admit the request.
  kNotAdmitted,
  /// Another target answers at this address; it did not admit the request.
  kOtherTarget,
  /// The answer to some earlier request; the right one may follow.
  kOtherRequest,
  kMalformed,
};

/// What a whole answer of an engine says about itself.
struct answer_summary {
  bool names_request = false;
  std::optional<routing::usage> reported_usage;
};

class i_target_dialect {
 public:
  virtual ~i_target_dialect() = default;

  /// Sets the fields that differ between attempts.
  virtual void Prepare(const attempt_terms& terms,
                       net::http_request& request) const = 0;
  [[nodiscard]] virtual head_verdict Judge(const net::http_response_head& head,
                                           const outgoing_call& call) const = 0;
  [[nodiscard]] virtual std::unique_ptr<i_stream_scanner> MakeScanner(
      const outgoing_call& call,
      const std::optional<std::string>& resume_after) const = 0;
  /// Judges the body of a whole answer.
  [[nodiscard]] virtual answer_summary Summarise(
      const outgoing_call& call,
      unsigned status,
      std::string_view body) const = 0;
  /// The field that names the request in answers to callers.
  [[nodiscard]] virtual std::string_view name_field() const = 0;
  /// True if a stream that breaks off ends with an event that says so.
  [[nodiscard]] virtual bool announces_cuts() const = 0;
  /// True if callers understand fractions of a second in Retry-After.
  [[nodiscard]] virtual bool fractional_retry_after() const = 0;
};

}  // namespace burdocklock::gateway
