// One attempt: sends the request to a target and relays the answer.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "framework/net/http_client.h"
#include "gateway/i_control.h"
#include "gateway/internal/answer_writer.h"
#include "gateway/progress_reporter.h"
#include "gateway/target_links.h"
#include "routing/types/attempt.h"
#include "routing/types/effect.h"
#include "routing/types/request.h"

namespace burdocklock::gateway {

/// What the exchanges of one traffic thread share.
struct traffic_context {
  boost::asio::io_context& io;
  i_control& control;
  target_links& links;
  progress_reporter& progress;
  std::uint32_t max_answer_bytes = 0;
};

/// What is sent to the target.
struct outgoing_call {
  routing::request_spec spec;
  std::string request_name;
  net::http_request request;
};

/// Invariants: no byte reaches the caller before the answer has named this
/// request; the connection is kept for reuse only after a whole answer.
class attempt_runner {
 public:
  attempt_runner(traffic_context& context,
                 const outgoing_call& call,
                 const routing::start_attempt& order,
                 answer_writer& writer);

  /// Runs to the end and returns `attempt_completed` or `attempt_failed`.
  routing::attempt_event Run();
  /// Makes `Run` return soon; callable from handlers of the same thread.
  void Cancel();

 private:
  std::optional<routing::attempt_failed> Connect();
  std::optional<routing::attempt_failed> Send();
  routing::attempt_event Receive();
  std::optional<routing::attempt_failed> CheckHead(
      const net::http_response_head& head) const;
  routing::attempt_event ReceiveWhole(const net::http_response_head& head);
  routing::attempt_event RelayStream();
  bool PassOn(std::string_view events, std::uint32_t tokens);
  void KeepLink();
  void FinishStreamTail();
  routing::attempt_failed Fail(routing::failure_kind kind,
                               std::string step,
                               std::string detail) const;
  routing::attempt_failed FailFrom(const error& error) const;
  void Report(routing::attempt_event event);

  traffic_context& context_;
  const outgoing_call& call_;
  const routing::start_attempt& order_;
  answer_writer& writer_;
  std::unique_ptr<net::http_client> link_;
  attempt_progress_meter* meter_ = nullptr;
  bool sent_ = false;
  bool cancelled_ = false;
  std::optional<time_point> last_output_;
};

}  // namespace burdocklock::gateway
