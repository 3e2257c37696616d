// See the header.
#include "admission/processor_guard.h"

#include <algorithm>
#include <chrono>

namespace burdocklock::admission {

namespace {

constexpr std::chrono::milliseconds kWindow{150};
// Fractions of the time for which the event loop is busy: above the first the
// limit is lowered, below the second it is raised.
constexpr double kHighUtilisation = 0.95;
constexpr double kLowUtilisation = 0.85;
// A loop that is busy all the time keeps its limit while the turns that callers
// meet and their waits to be accepted are shorter: refusing more would take the
// time of calls that are served.
constexpr std::chrono::milliseconds kDelayingTurn{40};
constexpr std::chrono::milliseconds kLongWait{100};
// With turns shorter than this the limit is raised, however busy the loop is.
constexpr std::chrono::milliseconds kShortTurn{15};
// Turns of this length delay all callers, whatever the mean utilisation.
constexpr std::chrono::milliseconds kLongTurn{250};
// A single busy window may be a burst.
constexpr int kBusyWindowsBeforeLimit = 2;
// The first decrease also lets the requests that have piled up be served. Later
// ones are gradual, as streams admitted earlier still use the processor.
constexpr double kFirstDecrease = 0.8;
constexpr double kDecrease = 0.95;
constexpr double kIncrease = 1.05;
constexpr double kMinLimit = 10;
// Weight of all earlier windows, for a mean over about a second.
constexpr double kPastWeight = 0.85;
// The limit ends when it exceeds the demand by this factor.
constexpr double kEndFactor = 1.5;
// Fraction of the demand whose refusal counts as heavy overload.
constexpr double kMuchRefused = 0.4;
constexpr std::chrono::milliseconds kOverloadBegins{500};
constexpr std::chrono::seconds kOverloadEnds{2};

}  // namespace

void processor_guard::OnTurn(duration busy, time_point now) {
  busy_ += busy;
  squared_turns_ += ToSeconds(busy) * ToSeconds(busy);
  longest_turn_ = std::max(longest_turn_, busy);
  if (window_started_ == time_point{}) {
    window_started_ = now - busy;
  }
  if (now - window_started_ >= kWindow) {
    EndWindow(now);
  }
}

void processor_guard::OnCallerWait(duration wait) {
  longest_wait_ = std::max(longest_wait_, wait);
}

bool processor_guard::Admit(const customer_id& customer,
                            double cost,
                            time_point now) {
  shares_.OnArrival(customer, cost, now);
  if (shares_.IsOverShare(customer, now)) {
    refused_cost_ += cost;
    return false;
  }
  shares_.OnSent(customer, cost, now);
  admitted_cost_ += cost;
  in_progress_cost_ += cost;
  return true;
}

void processor_guard::OnEnded(double cost) {
  in_progress_cost_ = std::max(0.0, in_progress_cost_ - cost);
}

void processor_guard::EndWindow(time_point now) {
  const double seconds = ToSeconds(now - window_started_);
  UpdateLimit(ToSeconds(busy_) / seconds, AdmittedRate(seconds));
  UpdateOverload(now);
  window_started_ = now;
  busy_ = {};
  longest_turn_ = {};
  squared_turns_ = 0;
  longest_wait_ = {};
  admitted_cost_ = 0;
  refused_cost_ = 0;
}

void processor_guard::UpdateLimit(double utilisation, double admitted_rate) {
  const bool callers_wait =
      MetTurnSeconds() > ToSeconds(kDelayingTurn) || longest_wait_ > kLongWait;
  if ((utilisation > kHighUtilisation && callers_wait) ||
      longest_turn_ > kLongTurn) {
    if (++busy_windows_ >= kBusyWindowsBeforeLimit) {
      const double decrease = limit_ == kNoLimit ? kFirstDecrease : kDecrease;
      limit_ = std::max(kMinLimit, decrease * std::min(limit_, admitted_rate));
    }
  } else {
    busy_windows_ = 0;
    const bool short_turns = MetTurnSeconds() < ToSeconds(kShortTurn);
    if (utilisation < kLowUtilisation || (short_turns && !callers_wait)) {
      limit_ *= kIncrease;
    }
    if (refused_cost_ == 0 && limit_ > kEndFactor * admitted_rate) {
      limit_ = kNoLimit;
    }
  }
  shares_.SetKnownCapacity(limit_);
}

double processor_guard::AdmittedRate(double window_seconds) {
  past_cost_ = kPastWeight * past_cost_ + admitted_cost_;
  past_seconds_ = kPastWeight * past_seconds_ + window_seconds;
  return std::max(admitted_cost_ / window_seconds, past_cost_ / past_seconds_);
}

double processor_guard::MetTurnSeconds() const {
  return busy_ > duration::zero() ? squared_turns_ / ToSeconds(busy_) : 0;
}

void processor_guard::UpdateOverload(time_point now) {
  const bool refuses_much =
      refused_cost_ > kMuchRefused * (refused_cost_ + admitted_cost_);
  if (refuses_much != series_refuses_much_) {
    series_refuses_much_ = refuses_much;
    series_started_ = now;
  }
  const duration lasted = now - series_started_;
  if (refuses_much && lasted >= kOverloadBegins) {
    heavily_overloaded_ = true;
  } else if (!refuses_much && lasted >= kOverloadEnds) {
    heavily_overloaded_ = false;
  }
}

}  // namespace burdocklock::admission
