// Watches how a router takes its callers' connections: turns of the event loop
// and the listeners' counters, as metrics and log records.
#pragma once

#include <cstdint>

#include "framework/logging/i_logger.h"
#include "framework/metrics/metric_registry.h"
#include "framework/types/time.h"
#include "gateway/types/traffic_state.h"

namespace burdocklock::app {

/// Used on the control thread.
class caller_monitor {
 public:
  caller_monitor(const gateway::traffic_state& traffic,
                 metric_registry& metrics,
                 i_logger& logger);

  /// Records that the event loop was busy for `busy` before it waited again.
  void OnTurn(duration busy, time_point now);

 private:
  void EndPeriod(time_point now);
  void LogClosed();
  void LogReadiness();

  const gateway::traffic_state& traffic_;
  i_logger& logger_;
  time_point period_started_{};
  duration longest_turn_{};
  /// Of the last complete period.
  duration last_longest_turn_{};
  bool takes_callers_ = true;
  std::uint64_t reported_accepted_ = 0;
  std::uint64_t reported_evicted_ = 0;
  std::uint64_t reported_accept_failures_ = 0;
  std::uint64_t reported_at_once_ = 0;
  std::uint64_t reported_moved_ = 0;
  std::uint64_t reported_idle_timeouts_ = 0;
  std::uint64_t reported_read_timeouts_ = 0;
  std::uint64_t reported_given_up_ = 0;
  std::uint64_t reported_unanswered_ = 0;
  std::uint64_t reported_left_unread_ = 0;
};

}  // namespace burdocklock::app
