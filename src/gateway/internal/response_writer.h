// Writes the response to a request to its caller.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "framework/net/http_client.h"
#include "framework/net/http_server.h"
#include "gateway/i_target_dialect.h"
#include "refusals/types/refusal.h"

namespace burdocklock::gateway {

class response_writer;

/// The right to write the one head of a response. There is one for each
/// caller's request; who has none cannot write a response, a problem or a
/// stream's head.
class head_permit {
 public:
  head_permit(const head_permit&) = delete;
  head_permit& operator=(const head_permit&) = delete;
  head_permit(head_permit&&) = default;
  head_permit& operator=(head_permit&&) = default;

 private:
  friend class response_writer;
  head_permit() = default;
};

/// What can still be written once a stream's head has been: events, its end, or
/// a truncation.
class stream_writer {
 public:
  bool WriteEvents(std::string_view events);
  bool End();
  /// Ends the stream so that the caller can tell that it is incomplete: sends
  /// an error event if the dialect has one, and omits the last chunk.
  bool Truncate(const refusals::refusal& refusal,
                const std::string& refusal_name);

  /// ID of the last forwarded event, if events have IDs.
  [[nodiscard]] const std::string& last_event_id() const {
    return last_event_id_;
  }
  void SetLastEventId(std::string id) { last_event_id_ = std::move(id); }

 private:
  friend class response_writer;
  explicit stream_writer(response_writer& response) : response_(response) {}

  response_writer& response_;
  std::string last_event_id_;
};

/// Invariant: at most one head is written. After a failed write or a truncation
/// the connection must be closed.
class response_writer {
 public:
  response_writer(net::http_connection& connection,
                  const net::http_request& request,
                  std::string request_name,
                  bool keep_alive,
                  const i_target_dialect& dialect);

  /// nullopt once it has been taken.
  [[nodiscard]] std::optional<head_permit> TakeHeadPermit();
  bool WriteResponse(head_permit permit,
                     const net::http_response_head& head,
                     std::string body);
  bool WriteProblem(head_permit permit,
                    const refusals::refusal& refusal,
                    const std::string& refusal_name);
  /// Starts a stream with the target's header fields.
  bool BeginStream(head_permit permit, const net::http_response_head& head);
  /// The stream, from its begin to its end or truncation; else nullptr.
  [[nodiscard]] stream_writer* stream();

  /// The connection is closed after the response. Only before its head.
  void CloseAfter() { keep_alive_ = false; }
  /// After an exception: if writing has started, what was written is not known,
  /// and the connection must be closed.
  void OnException() { failed_ |= started_; }
  /// True once writing to the caller has started.
  [[nodiscard]] bool started() const { return started_; }
  [[nodiscard]] bool failed() const { return failed_; }
  [[nodiscard]] net::keep_alive keep_alive() const;

 private:
  friend class stream_writer;

  bool Write(net::http_response& response);
  bool WriteEvents(std::string_view events);
  bool EndStream();
  bool TruncateStream(const refusals::refusal& refusal,
                      const std::string& refusal_name);
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
  bool head_permit_taken_ = false;
  std::optional<stream_writer> stream_;
  bool started_ = false;
  bool failed_ = false;
};

}  // namespace burdocklock::gateway
