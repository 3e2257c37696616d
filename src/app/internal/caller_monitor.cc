// See the header.
#include "app/internal/caller_monitor.h"

#include <algorithm>
#include <chrono>

namespace burdocklock::app {

namespace {

constexpr std::chrono::seconds kPeriod{1};
// Turns of this length delay every caller noticeably.
constexpr std::chrono::milliseconds kLongTurn{100};
constexpr double kThousandths = 1000;

}  // namespace

caller_monitor::caller_monitor(const gateway::traffic_state& traffic,
                               metric_registry& metrics,
                               i_logger& logger)
    : traffic_(traffic), logger_(logger) {
  const net::listener_counters& callers = traffic.callers;
  const auto gauge = [&metrics](const char* name, const auto& counter) {
    metrics.Gauge(name,
                  [&counter] { return static_cast<double>(counter.load()); });
  };
  gauge("burdocklock_callers_open", callers.open);
  gauge("burdocklock_callers_accepted", callers.accepted);
  gauge("burdocklock_callers_evicted", callers.evicted);
  gauge("burdocklock_callers_accept_failures", callers.accept_failures);
  gauge("burdocklock_callers_idle_timeouts", callers.idle_timeouts);
  gauge("burdocklock_callers_crossed_closes", callers.crossed);
  gauge("burdocklock_callers_read_timeouts", callers.read_timeouts);
  gauge("burdocklock_callers_given_up", callers.given_up);
  gauge("burdocklock_callers_failed", callers.failed);
  gauge("burdocklock_callers_refused_at_once", callers.refused_at_once);
  gauge("burdocklock_callers_moved", traffic.moved);
  gauge("burdocklock_callers_limit", traffic.max_connections);
  gauge("burdocklock_calls_limit", traffic.max_calls);
  gauge("burdocklock_memory_estimate_bytes", traffic.memory_bytes);
  gauge("burdocklock_requests_unanswered", traffic.unanswered);
  gauge("burdocklock_requests_left_unread", traffic.left_unread);
  gauge("burdocklock_calls_in_progress", traffic.in_progress);
  gauge("burdocklock_admission_limit_per_second", traffic.admission_limit);
  metrics.Gauge("burdocklock_calls_arrived_cost", [this] {
    return static_cast<double>(traffic_.arrived_cost) / kThousandths;
  });
  metrics.Gauge("burdocklock_takes_callers",
                [this] { return traffic_.TakesCallers() ? 1.0 : 0.0; });
  metrics.Gauge("burdocklock_event_loop_longest_turn_seconds",
                [this] { return ToSeconds(last_longest_turn_); });
}

void caller_monitor::OnTurn(duration busy, time_point now) {
  longest_turn_ = std::max(longest_turn_, busy);
  if (traffic_.TakesCallers() != takes_callers_) {
    LogReadiness();
  }
  if (now - period_started_ >= kPeriod) {
    EndPeriod(now);
  }
}

void caller_monitor::LogReadiness() {
  takes_callers_ = traffic_.TakesCallers();
  logger_.Log(
      log_record("takes_callers",
                 takes_callers_ ? log_level::kInfo : log_level::kWarning)
          .Add("takes_callers", takes_callers_)
          .Add("blocked_listeners", traffic_.callers.blocked.load())
          .Add("overloaded_threads", traffic_.overloaded_threads.load())
          .Add("crowded_threads", traffic_.crowded_threads.load())
          .Add("demand_over_mean",
               static_cast<double>(traffic_.demand_over_mean) / kThousandths)
          .Add("memory_bytes", traffic_.memory_bytes.load())
          .Add("max_connections", traffic_.max_connections.load())
          .Add("max_calls", traffic_.max_calls.load())
          .Add("open", traffic_.callers.open.load()));
}

void caller_monitor::EndPeriod(time_point now) {
  const net::listener_counters& callers = traffic_.callers;
  const std::uint64_t accepted = callers.accepted;
  const std::uint64_t evicted = callers.evicted;
  const std::uint64_t accept_failures = callers.accept_failures;
  const std::uint64_t refused_at_once = callers.refused_at_once;
  const std::uint64_t moved = traffic_.moved;
  if (longest_turn_ >= kLongTurn || evicted > reported_evicted_ ||
      accept_failures > reported_accept_failures_ ||
      refused_at_once > reported_at_once_ || moved > reported_moved_) {
    logger_.Log(
        log_record("callers_delayed", log_level::kWarning)
            .Add("period_ms", ToMilliseconds(now - period_started_))
            .Add("longest_turn_ms", ToMilliseconds(longest_turn_))
            .Add("open", callers.open.load())
            .Add("accepted", accepted - reported_accepted_)
            .Add("evicted", evicted - reported_evicted_)
            .Add("accept_failures", accept_failures - reported_accept_failures_)
            .Add("refused_at_once", refused_at_once - reported_at_once_)
            .Add("moved", moved - reported_moved_)
            .Add("memory_bytes", traffic_.memory_bytes.load())
            .Add("max_connections", traffic_.max_connections.load())
            .Add("max_calls", traffic_.max_calls.load())
            .Add("in_progress", traffic_.in_progress.load())
            .Add("admission_limit", traffic_.admission_limit.load()));
  }
  LogClosed();
  period_started_ = now;
  last_longest_turn_ = longest_turn_;
  longest_turn_ = {};
  reported_accepted_ = accepted;
  reported_evicted_ = evicted;
  reported_accept_failures_ = accept_failures;
  reported_at_once_ = refused_at_once;
  reported_moved_ = moved;
}

void caller_monitor::LogClosed() {
  const std::uint64_t idle = traffic_.callers.idle_timeouts;
  const std::uint64_t read = traffic_.callers.read_timeouts;
  const std::uint64_t given_up = traffic_.callers.given_up;
  const std::uint64_t unanswered = traffic_.unanswered;
  const std::uint64_t left_unread = traffic_.left_unread;
  if (idle > reported_idle_timeouts_ || read > reported_read_timeouts_ ||
      given_up > reported_given_up_ || unanswered > reported_unanswered_ ||
      left_unread > reported_left_unread_) {
    logger_.Log(
        log_record("callers_closed", unanswered > reported_unanswered_
                                         ? log_level::kWarning
                                         : log_level::kInfo)
            .Add("idle_timeouts", idle - reported_idle_timeouts_)
            .Add("read_timeouts", read - reported_read_timeouts_)
            .Add("given_up", given_up - reported_given_up_)
            .Add("requests_unanswered", unanswered - reported_unanswered_)
            .Add("requests_left_unread", left_unread - reported_left_unread_));
  }
  reported_idle_timeouts_ = idle;
  reported_read_timeouts_ = read;
  reported_given_up_ = given_up;
  reported_unanswered_ = unanswered;
  reported_left_unread_ = left_unread;
}

}  // namespace burdocklock::app
