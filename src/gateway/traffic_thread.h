// Thread that serves callers with its own io_context.
#pragma once

#include <cstdint>
#include <memory>

#include "framework/types/endpoint.h"
#include "framework/types/error.h"
#include "gateway/i_call_dialect.h"
#include "gateway/i_control.h"
#include "gateway/types/gateway_options.h"
#include "gateway/types/traffic_state.h"

namespace burdocklock::gateway {

class traffic_thread {
 public:
  /// `shared` is updated by all threads.
  traffic_thread(gateway_options options,
                 i_control& control,
                 const i_call_dialect* dialect,
                 traffic_state& shared);
  ~traffic_thread();

  /// Starts the thread; returns the listening address.
  result<endpoint> Start();
  /// Closes idle caller connections. Callable from any thread.
  void CloseIdle();
  /// Stops accepting connections; requests in progress continue. Callable from
  /// any thread.
  void Stop();
  /// Waits until the last request has finished.
  void Join();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::gateway
