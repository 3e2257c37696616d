// Serves callers on one io_context: listener, idle target connections and
// progress reports.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "framework/types/endpoint.h"
#include "framework/types/error.h"
#include "gateway/i_call_dialect.h"
#include "gateway/i_control.h"
#include "gateway/types/gateway_options.h"

namespace burdocklock::gateway {

/// All members must be called from fibers of the io_context's thread.
class traffic_service {
 public:
  /// `dialect` is that of routed callers; nullptr for the OpenAI-style
  /// interface. `connections` counts open caller connections over all services.
  traffic_service(boost::asio::io_context& io,
                  gateway_options options,
                  i_control& control,
                  const i_call_dialect* dialect,
                  std::atomic<std::uint32_t>& connections);
  ~traffic_service();

  /// Returns the address that it listens on.
  result<endpoint> Start();
  /// Closes connections that wait for a further request.
  void CloseIdle();
  /// Stops to accept; requests in progress go on.
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::gateway
