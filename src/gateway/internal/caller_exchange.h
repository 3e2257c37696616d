// The traffic side of one request: executes the control thread's orders on the
// caller's connection.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"
#include "gateway/i_control.h"
#include "gateway/internal/attempt_runner.h"
#include "gateway/internal/response_writer.h"

namespace burdocklock::gateway {

/// All members except `Deliver` run on the thread of the caller's connection.
class caller_exchange : public i_exchange,
                        public std::enable_shared_from_this<caller_exchange> {
 public:
  caller_exchange(traffic_context& context,
                  net::http_connection& connection,
                  outgoing_call call,
                  response_writer& writer);

  /// Submits the call and blocks the fiber until the response is written or the
  /// caller disconnects.
  void Run();

  void Deliver(exchange_order order) override;

 private:
  void PerformOrders();
  /// Ends the exchange after an exception, so that neither the control thread
  /// nor a late event waits for it.
  void Abandon();
  void DeclinePendingOrders();
  void Accept(exchange_order order);
  void Execute(const routing::start_attempt& order);
  void Execute(const routing::cancel_attempt& order);
  void Execute(const routing::refuse_request& order);
  void Execute(const routing::forward_error_response& order);
  void Execute(const routing::truncate_response& order);
  /// Tells the caller of a refusal: in a problem document if nothing has been
  /// written, else by truncating the stream.
  void EndWith(const refusals::refusal& refusal);
  void ReportNotStarted(const routing::start_attempt& order,
                        routing::failure_kind kind);
  void WatchCaller();
  void OnCallerReadable();
  void OnCallerLost();

  traffic_context& context_;
  // Valid, like `writer_`, only while `Run` executes.
  net::http_connection& connection_;
  outgoing_call call_;
  response_writer& writer_;
  /// Copy of `writer_.started()`: the writer may be destroyed when late orders
  /// arrive.
  bool delivered_ = false;
  /// The last error response of a target that could be forwarded.
  saved_response saved_response_;
  std::deque<exchange_order> pending_orders_;
  fiber_event pending_orders_changed_;
  attempt_runner* running_ = nullptr;
  attempt_number running_attempt_{0};
  std::optional<attempt_number> cancelled_attempt_;
  bool caller_lost_ = false;
  bool finished_ = false;
};

}  // namespace burdocklock::gateway
