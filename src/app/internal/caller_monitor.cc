// See the header.
#include "app/internal/caller_monitor.h"

#include <algorithm>
#include <chrono>

namespace burdocklock::app {

namespace {

constexpr std::chrono::seconds kPeriod{1};
// Turns of this length delay every caller noticeably.
constexpr std::chrono::milliseconds kLongTurn{100};

}  // namespace

caller_monitor::caller_monitor(const net::listener_counters& callers,
                               metric_registry& metrics,
                               i_logger& logger)
    : callers_(callers), logger_(logger) {
  const auto gauge = [&metrics](const char* name, const auto& counter) {
    metrics.Gauge(name,
                  [&counter] { return static_cast<double>(counter.load()); });
  };
  gauge("burdocklock_callers_open", callers.open);
  gauge("burdocklock_callers_accepted", callers.accepted);
  gauge("burdocklock_callers_turned_away", callers.turned_away);
  gauge("burdocklock_callers_accept_failures", callers.accept_failures);
  metrics.Gauge("burdocklock_event_loop_longest_turn_seconds",
                [this] { return ToSeconds(last_longest_turn_); });
}

void caller_monitor::OnTurn(duration busy, time_point now) {
  longest_turn_ = std::max(longest_turn_, busy);
  if (now - period_started_ >= kPeriod) {
    EndPeriod(now);
  }
}

void caller_monitor::EndPeriod(time_point now) {
  const std::uint64_t accepted = callers_.accepted;
  const std::uint64_t turned_away = callers_.turned_away;
  const std::uint64_t accept_failures = callers_.accept_failures;
  if (longest_turn_ >= kLongTurn || turned_away > reported_turned_away_ ||
      accept_failures > reported_accept_failures_) {
    logger_.Log(log_record("callers_delayed", log_level::kWarning)
                    .Add("period_ms", ToMilliseconds(now - period_started_))
                    .Add("longest_turn_ms", ToMilliseconds(longest_turn_))
                    .Add("open", callers_.open.load())
                    .Add("accepted", accepted - reported_accepted_)
                    .Add("turned_away", turned_away - reported_turned_away_)
                    .Add("accept_failures",
                         accept_failures - reported_accept_failures_));
  }
  period_started_ = now;
  last_longest_turn_ = longest_turn_;
  longest_turn_ = {};
  reported_accepted_ = accepted;
  reported_turned_away_ = turned_away;
  reported_accept_failures_ = accept_failures;
}

}  // namespace burdocklock::app
