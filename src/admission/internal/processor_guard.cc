// See the header.
#include "admission/processor_guard.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace burdocklock::admission {

namespace {

constexpr std::chrono::milliseconds kWindow{100};
// Fractions of the time for which the event loop is busy: above the first the
// limit is lowered, below the second it is raised.
constexpr double kHighUtilisation = 0.95;
constexpr double kLowUtilisation = 0.85;
// A loop that is busy all the time keeps its limit while the turns that callers
// meet and their waits to be accepted are shorter: refusing more would take the
// time of calls that are served.
constexpr std::chrono::milliseconds kDelayingTurn{40};
constexpr std::chrono::milliseconds kLongWait{100};
// Turns of this length delay all callers, whatever the mean utilisation.
constexpr std::chrono::milliseconds kLongTurn{250};
// A single busy window may be a burst, unless callers wait for much longer and
// much more is admitted than ends.
constexpr int kBusyWindowsBeforeLimit = 2;
constexpr double kSevereCongestion = 1.5;
constexpr double kSurgeFactor = 2;
// Least part of the ended work that is admitted anew while callers are delayed.
constexpr double kDecrease = 0.95;
// Most by which the work in progress may grow in a window.
constexpr double kMaxIncrease = 0.3;
// Delays scatter: the allowance follows one window in small steps.
constexpr double kAllowanceDecrease = 0.97;
constexpr double kMinLimit = 10;
// An allowance of which less is used tells nothing of what is bearable.
constexpr double kUsedPart = 0.5;
// Lets the allowance grow again.
constexpr double kMinInProgress = 0.2;
// Time in which work in progress beyond the allowance is to end.
constexpr std::chrono::milliseconds kDrainTime{500};
constexpr std::chrono::milliseconds kEndedAveraging{500};
// Weight of all earlier windows, for a mean over about a second.
constexpr double kPastWeight = 0.9;
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
  ended_cost_ += cost;
}

void processor_guard::EndWindow(time_point now) {
  const double seconds = ToSeconds(now - window_started_);
  const double weight = 1 - std::exp(-seconds / ToSeconds(kEndedAveraging));
  ended_rate_ += weight * (ended_cost_ / seconds - ended_rate_);
  UpdateLimit(ToSeconds(busy_) / seconds, AdmittedRate(seconds));
  UpdateOverload(now);
  window_started_ = now;
  busy_ = {};
  longest_turn_ = {};
  squared_turns_ = 0;
  longest_wait_ = {};
  admitted_cost_ = 0;
  refused_cost_ = 0;
  ended_cost_ = 0;
}

double processor_guard::Congestion() const {
  return std::max(MetTurnSeconds() / ToSeconds(kDelayingTurn),
                  ToSeconds(longest_wait_) / ToSeconds(kLongWait));
}

void processor_guard::UpdateLimit(double utilisation, double admitted_rate) {
  const double congestion = Congestion();
  const bool is_busy = (utilisation > kHighUtilisation && congestion > 1) ||
                       longest_turn_ > kLongTurn;
  const bool is_surge = is_busy && congestion > kSevereCongestion &&
                        admitted_cost_ > kSurgeFactor * ended_cost_;
  busy_windows_ = is_busy ? busy_windows_ + 1 : 0;
  double change = 1;
  if (is_surge || busy_windows_ >= kBusyWindowsBeforeLimit) {
    change = std::clamp(1 / congestion, kDecrease, 1.0);
    LowerAllowance(congestion);
  } else if (!is_busy && (utilisation < kLowUtilisation || congestion < 1)) {
    change = 1 + kMaxIncrease * (1 - std::min(congestion, 1.0));
    RaiseAllowance(change);
  }
  if (allowed_in_progress_ == kNoLimit) {
    return;
  }
  limit_ = std::max(kMinLimit, change * ended_rate_ +
                                   (allowed_in_progress_ - in_progress_cost_) /
                                       ToSeconds(kDrainTime));
  if (!is_busy && refused_cost_ == 0 && limit_ > kEndFactor * admitted_rate) {
    limit_ = kNoLimit;
    allowed_in_progress_ = kNoLimit;
  }
  shares_.SetKnownCapacity(limit_);
}

void processor_guard::LowerAllowance(double congestion) {
  // The delay grows with the work in progress.
  const double bearable = in_progress_cost_ / std::max(congestion, 1.0);
  allowed_in_progress_ =
      allowed_in_progress_ == kNoLimit
          ? bearable
          : std::clamp(bearable, kAllowanceDecrease * allowed_in_progress_,
                       allowed_in_progress_);
  allowed_in_progress_ = std::max(allowed_in_progress_, kMinInProgress);
}

void processor_guard::RaiseAllowance(double factor) {
  if (in_progress_cost_ >= kUsedPart * allowed_in_progress_) {
    allowed_in_progress_ *= factor;
  }
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
