// A thread that serves callers, with an io_context of its own.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "framework/types/endpoint.h"
#include "framework/types/error.h"
#include "gateway/i_call_dialect.h"
#include "gateway/i_control.h"
#include "gateway/types/gateway_options.h"

namespace burdocklock::gateway {

class traffic_thread {
 public:
  /// `connections` counts open caller connections over all threads.
  traffic_thread(gateway_options options,
                 i_control& control,
                 const i_call_dialect* dialect,
                 std::atomic<std::uint32_t>& connections);
  ~traffic_thread();

  /// Starts the thread; returns the address that it listens on.
  result<endpoint> Start();
  /// Closes connections that wait for a further request. Callable from any
  /// thread.
  void CloseIdle();
  /// Stops to accept; requests in progress go on. Callable from any thread.
  void Stop();
  /// Waits until the last request has ended.
  void Join();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::gateway
