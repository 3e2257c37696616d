// Runs one attempt: sends the request to a target and relays the response.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "admission/caller_intake.h"
#include "admission/processor_guard.h"
#include "framework/net/byte_budget.h"
#include "framework/net/http_client.h"
#include "gateway/i_control.h"
#include "gateway/i_target_dialect.h"
#include "gateway/internal/response_writer.h"
#include "gateway/progress_reporter.h"
#include "gateway/refusal_reporter.h"
#include "gateway/target_connections.h"
#include "gateway/types/traffic_state.h"
#include "routing/types/attempt.h"
#include "routing/types/effect.h"
#include "routing/types/request.h"

namespace burdocklock::gateway {

/// State shared by the exchanges of one traffic thread.
struct traffic_context {
  boost::asio::io_context& io;
  i_control& control;
  const i_target_dialect& dialect;
  target_connections& idle_connections;
  progress_reporter& progress;
  refusal_reporter& refusals;
  admission::processor_guard& guard;
  admission::caller_intake& intake;
  traffic_state& shared;
  net::byte_budget& budget;
  std::uint32_t max_answer_bytes = 0;
  std::uint32_t threads = 1;

  [[nodiscard]] admission::router_use Use() const;
};

/// A target's error response, forwarded if no other target can serve the
/// request.
struct saved_response {
  net::http_response_head head;
  std::string body;
  std::unique_ptr<net::byte_hold> hold;
};

/// Invariants: no byte is sent to the caller before the response has been
/// matched to this request; the connection is reused only after a complete
/// response.
class attempt_runner {
 public:
  attempt_runner(traffic_context& context,
                 const outgoing_call& call,
                 const routing::start_attempt& order,
                 response_writer& writer);

  /// Runs the attempt and returns `attempt_completed` or `attempt_failed`, also
  /// if an exception comes out of it: then with its cause.
  routing::attempt_event Run();
  /// The error response, if `Run` returned a failure with `answer_status`.
  [[nodiscard]] saved_response TakeSavedResponse() {
    return std::move(saved_response_);
  }
  /// Cancels `Run` by closing the connection; call only from the same thread.
  void Cancel();

 private:
  routing::attempt_event RunToEnd();
  std::optional<routing::attempt_failed> Connect();
  std::optional<routing::attempt_failed> Send();
  routing::attempt_event Receive();
  /// Reads the head of a response, skipping interim ones: callers are not sent
  /// any, as none of them is an answer.
  result<net::http_response_head> ReadFinalHead();
  /// Records what a head says of the target.
  void NoteHead(const net::http_response_head& head, head_verdict verdict);
  /// Whether the target's address refuses connections.
  bool RefusesConnections();
  std::optional<routing::attempt_failed> CheckHead(
      head_verdict verdict,
      const net::http_response_head& head) const;
  /// As the dialect judges it, but an answer that says that the request did not
  /// run is believed only if it cannot belong to an earlier request.
  [[nodiscard]] head_verdict Judge(const net::http_response_head& head) const;
  /// Whether the caller may be given the target's response at once.
  [[nodiscard]] bool MayForward(const net::http_response_head& head) const;
  /// Reads the rest of a response into `body`; nullopt on success.
  std::optional<routing::attempt_failed> ReadBody(std::string& body,
                                                  net::byte_hold& hold);
  /// Room for one response, which gives up the attempt if others need it.
  [[nodiscard]] std::unique_ptr<net::byte_hold> MakeHold();
  [[nodiscard]] routing::attempt_failed FailForLackOfRoom() const;
  routing::attempt_event ReceiveResponse(const net::http_response_head& head);
  routing::attempt_event SaveErrorResponse(const net::http_response_head& head);
  routing::attempt_event RelayStream(const net::http_response_head& head);
  /// Whether the response's events are forwarded as they arrive.
  [[nodiscard]] bool IsRelayed(const net::http_response_head& head) const;
  /// ID of the last event that the caller has received.
  [[nodiscard]] std::string LastEventId() const;
  /// Writes the stream's head unless an earlier attempt has; false if it could
  /// not be written.
  bool BeginStream(const net::http_response_head& head);
  routing::attempt_event FinishStream(i_stream_scanner& scanner);
  /// Before a response's head.
  void MoveCallerIfCrowded();
  bool ForwardEvents(const net::http_response_head& head,
                     std::string_view events,
                     std::uint32_t tokens);
  void ReleaseConnection();
  void ReadStreamTail();
  routing::attempt_failed Fail(routing::failure_kind kind,
                               std::string step,
                               std::string detail) const;
  routing::attempt_failed FailFrom(const error& error) const;
  void Report(routing::attempt_event event);

  traffic_context& context_;
  const outgoing_call& call_;
  const routing::start_attempt& order_;
  response_writer& writer_;
  std::unique_ptr<net::http_client> connection_;
  /// Names of the requests that `connection_` has carried.
  recent_names names_;
  attempt_progress_meter* meter_ = nullptr;
  bool sent_ = false;
  bool cancelled_ = false;
  bool reused_connection_ = false;
  /// The target has answered an earlier request once more.
  bool wrote_extra_ = false;
  /// Set once a response has arrived, if only to an earlier request.
  std::optional<routing::answer_head> head_;
  saved_response saved_response_;
  std::optional<time_point> last_output_;
};

}  // namespace burdocklock::gateway
