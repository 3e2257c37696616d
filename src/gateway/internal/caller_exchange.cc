// See the header.
#include "gateway/internal/caller_exchange.h"

#include <chrono>
#include <exception>
#include <utility>

#include <boost/asio/post.hpp>

namespace burdocklock::gateway {

using routing::attempt_failed;
using routing::failure_kind;

caller_exchange::caller_exchange(traffic_context& context,
                                 net::http_connection& connection,
                                 outgoing_call call,
                                 response_writer& writer)
    : context_(context),
      connection_(connection),
      call_(std::move(call)),
      writer_(writer) {}

void caller_exchange::Run() {
  context_.control.Submit(call_.spec, shared_from_this());
  try {
    WatchCaller();
    PerformOrders();
  } catch (const std::exception&) {
    Abandon();
    throw;
  }
}

void caller_exchange::Abandon() {
  finished_ = true;
  running_ = nullptr;
  context_.control.ReportCallerLeft(call_.spec.id);
  DeclinePendingOrders();
  boost::system::error_code ignored;
  connection_.stream.socket().cancel(ignored);
}

void caller_exchange::PerformOrders() {
  while (!finished_) {
    if (pending_orders_.empty()) {
      pending_orders_changed_.Wait();
      continue;
    }
    const exchange_order order = std::move(pending_orders_.front());
    pending_orders_.pop_front();
    std::visit([this](const auto& value) { Execute(value); }, order);
  }
  DeclinePendingOrders();
  if (!writer_.started() && !caller_lost_) {
    ++context_.shared.unanswered;
  }
  boost::system::error_code ignored;
  connection_.stream.socket().cancel(ignored);
}

// Orders that arrived while the exchange was ending still need a report.
void caller_exchange::DeclinePendingOrders() {
  for (const exchange_order& order : std::exchange(pending_orders_, {})) {
    if (const auto* start = std::get_if<routing::start_attempt>(&order)) {
      ReportNotStarted(*start, failure_kind::kCallerLost);
    }
  }
}

void caller_exchange::Deliver(exchange_order order) {
  boost::asio::post(context_.io, [self = shared_from_this(),
                                  order = std::move(order)]() mutable {
    self->Accept(std::move(order));
  });
}

void caller_exchange::Accept(exchange_order order) {
  if (const auto* cancel = std::get_if<routing::cancel_attempt>(&order)) {
    Execute(*cancel);
    return;
  }
  if (finished_) {
    if (const auto* start = std::get_if<routing::start_attempt>(&order)) {
      ReportNotStarted(*start, failure_kind::kCallerLost);
    }
    return;
  }
  pending_orders_.push_back(std::move(order));
  pending_orders_changed_.Set();
}

void caller_exchange::Execute(const routing::cancel_attempt& order) {
  if (running_ != nullptr && running_attempt_ == order.attempt) {
    running_->Cancel();
  } else {
    cancelled_attempt_ = order.attempt;
  }
}

void caller_exchange::Execute(const routing::start_attempt& order) {
  if (caller_lost_ || cancelled_attempt_ == order.attempt) {
    ReportNotStarted(order, caller_lost_ ? failure_kind::kCallerLost
                                         : failure_kind::kCancelled);
    finished_ = finished_ || caller_lost_;
    return;
  }
  attempt_runner runner(context_, call_, order, writer_);
  running_ = &runner;
  running_attempt_ = order.attempt;
  routing::attempt_event event = runner.Run();
  running_ = nullptr;
  delivered_ = writer_.started();
  saved_response_ = runner.TakeSavedResponse();
  if (auto* failure = std::get_if<attempt_failed>(&event)) {
    if (caller_lost_ || writer_.failed()) {
      failure->kind = failure_kind::kCallerLost;
      finished_ = true;
    }
  } else {
    finished_ = true;
  }
  context_.control.ReportAttempt(order.request, order.attempt,
                                 std::move(event));
}

void caller_exchange::Execute(const routing::refuse_request& order) {
  EndWith(order.refusal);
}

void caller_exchange::Execute(const routing::truncate_response& order) {
  EndWith(order.refusal);
}

void caller_exchange::EndWith(const refusals::refusal& refusal) {
  finished_ = true;
  if (caller_lost_) {
    return;
  }
  const std::string name = context_.control.RefusalName(refusal.id);
  if (stream_writer* stream = writer_.stream()) {
    stream->Truncate(refusal, name);
  } else if (auto permit = writer_.TakeHeadPermit()) {
    if (context_.intake.MovesRefused(std::chrono::steady_clock::now())) {
      writer_.CloseAfter();
    }
    writer_.WriteProblem(*std::move(permit), refusal, name);
  }
}

void caller_exchange::Execute(const routing::forward_error_response&) {
  finished_ = true;
  if (caller_lost_) {
    return;
  }
  if (auto permit = writer_.TakeHeadPermit()) {
    writer_.WriteResponse(*std::move(permit), saved_response_.head,
                          std::move(saved_response_.body));
  }
}

void caller_exchange::ReportNotStarted(const routing::start_attempt& order,
                                       failure_kind kind) {
  context_.control.ReportAttempt(
      order.request, order.attempt,
      attempt_failed{.kind = kind,
                     .sent = false,
                     .delivered = delivered_,
                     .step = "start attempt",
                     .detail = "the exchange has already ended"});
}

void caller_exchange::WatchCaller() {
  connection_.stream.socket().async_wait(
      boost::asio::socket_base::wait_read,
      [self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && !self->finished_) {
          self->OnCallerReadable();
        }
      });
}

void caller_exchange::OnCallerReadable() {
  switch (connection_.Arrived()) {
    case net::http_connection::arrival::kData:
      // A pipelined request: the caller is still connected.
      return;
    case net::http_connection::arrival::kNothing:
      WatchCaller();
      return;
    case net::http_connection::arrival::kEnd:
      OnCallerLost();
      return;
  }
}

void caller_exchange::OnCallerLost() {
  caller_lost_ = true;
  if (running_ != nullptr) {
    running_->Cancel();
    return;
  }
  context_.control.ReportCallerLeft(call_.spec.id);
  finished_ = true;
  pending_orders_changed_.Set();
}

}  // namespace burdocklock::gateway
