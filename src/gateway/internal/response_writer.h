// Writes the response to a request to its caller.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "framework/net/http_client.h"
#include "framework/net/http_server.h"
#include "gateway/i_target_dialect.h"
#include "refusals/types/refusal.h"

namespace burdocklock::gateway {

/// Invariant: at most one response, stream or problem document is started.
/// After a failed write or a truncation the connection must be closed.
class response_writer {
 public:
  response_writer(net::http_connection& connection,
                  const net::http_request& request,
                  std::string request_name,
                  bool keep_alive,
                  const i_target_dialect& dialect);

  bool WriteResponse(const net::http_response_head& head, std::string body);
  /// Starts a stream with the target's header fields.
  bool BeginStream(const net::http_response_head& head);
  bool WriteEvents(std::string_view events);
  bool EndStream();
  bool WriteProblem(const refusals::refusal& refusal,
                    const std::string& refusal_name);
  /// Truncates a stream so that the caller can tell that it is incomplete:
  /// sends an error event if the dialect has one, and omits the last chunk.
  bool WriteTruncation(const refusals::refusal& refusal,
                       const std::string& refusal_name);

  /// True once writing to the caller has started.
  [[nodiscard]] bool started() const { return started_; }
  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] net::keep_alive keep_alive() const;
  /// ID of the last forwarded event, if events have IDs.
  [[nodiscard]] const std::string& last_event_id() const {
    return last_event_id_;
  }
  void SetLastEventId(std::string id) { last_event_id_ = std::move(id); }

 private:
  bool Write(net::http_response& response);
  void PromiseIdle(net::http::fields& head);
  void SetRequestId(net::http::fields& fields) const;
  static void CopyFields(const net::http_response_head& head,
                         net::http::fields& fields);
  [[nodiscard]] std::string RetryAfter(std::chrono::milliseconds wait) const;
  bool Check(bool ok);

  net::http_connection& connection_;
  unsigned version_;
  std::string request_name_;
  bool keep_alive_;
  const i_target_dialect& dialect_;
  std::string last_event_id_;
  bool started_ = false;
  bool failed_ = false;
};

}  // namespace burdocklock::gateway
