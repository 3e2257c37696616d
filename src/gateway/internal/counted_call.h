// A call that a traffic thread has admitted, counted until it ends.
#pragma once

#include <optional>
#include <utility>

#include "gateway/internal/attempt_runner.h"

namespace burdocklock::gateway {

/// Invariant: what was counted is taken back once, however the call ends.
class counted_call {
 public:
  /// `cost` has been admitted by the thread's processor guard.
  counted_call(traffic_context& context, customer_id customer, double cost)
      : context_(context), customer_(std::move(customer)), cost_(cost) {
    context_.intake.OnCallBegan(customer_);
  }
  counted_call(const counted_call&) = delete;
  counted_call& operator=(const counted_call&) = delete;
  ~counted_call() {
    context_.intake.OnCallEnded(customer_);
    context_.guard.OnEnded(cost_);
  }

 private:
  traffic_context& context_;
  customer_id customer_;
  double cost_;
};

}  // namespace burdocklock::gateway
