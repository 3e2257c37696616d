// One event loop of a router in virtual time: a relayed call takes processor
// time in many turns, long after it was admitted.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "admission/processor_guard.h"
#include "admission/retry_elsewhere.h"
#include "framework/seeded_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::admission {

// One event loop. A turn handles all events that are due when it begins.
class relaying_router {
 public:
  static constexpr std::chrono::microseconds kRead{400};
  static constexpr std::chrono::microseconds kRefuse{300};
  static constexpr std::chrono::microseconds kSend{900};
  static constexpr std::chrono::microseconds kOutput{120};
  static constexpr int kOutputs = 10;
  // All processor time of a call that is served.
  static constexpr std::chrono::microseconds kServed =
      kRead + kSend + kOutputs * kOutput;
  static constexpr std::chrono::milliseconds kFirstOutput{150};
  static constexpr std::chrono::milliseconds kBetweenOutputs{60};
  static constexpr std::chrono::seconds kPatience{3};

  struct second_account {
    int arrived = 0;
    int served = 0;
    int refused = 0;
    int left = 0;
  };

  /// Refused callers come back once. The router gets no more calls from two
  /// seconds after it is heavily overloaded.
  enum class refused_callers { kStayAway, kComeBack };

  explicit relaying_router(std::uint32_t seed,
                           refused_callers refused = refused_callers::kStayAway)
      : random_(seed * 7919), refused_(refused) {}

  void Run(double calls_per_second, duration time) {
    const time_point end = next_call_ + time;
    while (next_call_ < end) {
      events_.push(
          {.due = next_call_, .number = ++last_, .arrived = next_call_});
      next_call_ += Gap(calls_per_second);
      while (!events_.empty() &&
             std::max(now_, events_.top().due) < next_call_) {
        Turn();
      }
    }
    next_call_ = end;
  }
  [[nodiscard]] second_account Sum(std::size_t from, std::size_t to) const {
    second_account sum;
    for (std::size_t i = from; i < to && i < accounts_.size(); ++i) {
      sum.arrived += accounts_[i].arrived;
      sum.served += accounts_[i].served;
      sum.refused += accounts_[i].refused;
      sum.left += accounts_[i].left;
    }
    return sum;
  }

 private:
  struct event {
    time_point due;
    std::uint64_t number = 0;
    time_point arrived;
    int step = 0;
    bool is_retry = false;
    friend bool operator<(const event& a, const event& b) {
      return std::tie(b.due, b.number) < std::tie(a.due, a.number);
    }
  };

  void Turn() {
    now_ = std::max(now_, events_.top().due);
    const time_point began = now_;
    std::vector<event> due;
    while (!events_.empty() && events_.top().due <= began) {
      due.push_back(events_.top());
      events_.pop();
    }
    duration longest_wait{};
    for (const event& event : due) {
      if (event.step == 0) {
        longest_wait = std::max(longest_wait, began - event.due);
      }
      Handle(event);
    }
    guard_.OnCallerWait(longest_wait);
    guard_.OnTurn(now_ - began, now_);
    if (!guard_.IsHeavilyOverloaded()) {
      overloaded_since_.reset();
    } else if (!overloaded_since_) {
      overloaded_since_ = now_;
    }
  }
  [[nodiscard]] bool IsInRotation() const {
    return refused_ == refused_callers::kStayAway || !overloaded_since_ ||
           now_ - *overloaded_since_ < kLeavesRotation;
  }
  void ComeBack(const event& refused) {
    if (refused_ == refused_callers::kStayAway || refused.is_retry) {
      return;
    }
    const time_point at =
        now_ + RetryElsewhereAfter(request_seq(refused.number));
    events_.push(
        {.due = at, .number = ++last_, .arrived = at, .is_retry = true});
  }

  void Handle(event event) {
    if (event.step == 0 && !IsInRotation()) {
      return;
    }
    if (event.step == 0) {
      now_ += kRead;
      ++Account().arrived;
    }
    if (now_ - event.arrived > kPatience) {
      ++Account().left;
      guard_.OnEnded(event.step > 0 ? 1 : 0);
      return;
    }
    if (event.step == 0 && !guard_.Admit(customer_id("large"), 1, now_)) {
      now_ += kRefuse;
      ++Account().refused;
      ComeBack(event);
      return;
    }
    now_ += event.step == 0 ? kSend : kOutput;
    if (event.step == kOutputs) {
      ++Account().served;
      guard_.OnEnded(1);
      return;
    }
    event.due = now_ + (event.step == 0 ? duration(kFirstOutput)
                                        : duration(kBetweenOutputs));
    event.number = ++last_;
    ++event.step;
    events_.push(event);
  }

  second_account& Account() {
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now_ - kStart)
            .count());
    accounts_.resize(std::max(accounts_.size(), second + 1));
    return accounts_[second];
  }
  duration Gap(double per_second) {
    constexpr std::uint32_t kSteps = 10'000;
    const double uniform = (1.0 + random_.Below(kSteps - 1)) / kSteps;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(-std::log(uniform) / per_second));
  }

  static constexpr std::chrono::seconds kLeavesRotation{2};
  static constexpr time_point kStart{std::chrono::seconds(100)};
  seeded_random random_;
  refused_callers refused_;
  processor_guard guard_;
  std::optional<time_point> overloaded_since_;
  std::priority_queue<event> events_;
  std::vector<second_account> accounts_;
  time_point next_call_ = kStart;
  time_point now_ = kStart;
  std::uint64_t last_ = 0;
};

}  // namespace burdocklock::admission
