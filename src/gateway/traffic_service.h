// Serves callers on one io_context: owns the listener, idle target connections
// and progress reports.
#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "framework/types/endpoint.h"
#include "framework/types/error.h"
#include "gateway/i_call_dialect.h"
#include "gateway/i_control.h"
#include "gateway/types/gateway_options.h"
#include "gateway/types/traffic_state.h"

namespace burdocklock::gateway {

/// All members must be called from fibers on the io_context's thread.
class traffic_service {
 public:
  /// `dialect` is the protocol for routed callers; nullptr selects the
  /// OpenAI-style interface. `shared` is updated by all services.
  traffic_service(boost::asio::io_context& io,
                  gateway_options options,
                  i_control& control,
                  const i_call_dialect* dialect,
                  traffic_state& shared);
  ~traffic_service();

  /// Returns the listening address.
  result<endpoint> Start();
  /// Records that the thread's event loop was busy before it waited again.
  void OnTurn(duration busy, time_point now);
  /// Whether new callers should come to this thread.
  [[nodiscard]] bool TakesCallers() const;
  /// Closes idle caller connections.
  void CloseIdle();
  /// Stops accepting connections; requests in progress continue.
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::gateway
