// Events in virtual time, for simulated fleets.
#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>

#include "framework/seeded_random.h"
#include "framework/types/time.h"
#include "routing/i_routing_observer.h"

namespace burdocklock::routing {

struct null_routing_observer : i_routing_observer {
  void OnQueueWait(duration, time_point) override {}
  void OnFirstOutput(duration, time_point) override {}
};

/// Events at the same time happen in the order in which they were added.
class virtual_timeline {
 public:
  explicit virtual_timeline(std::uint32_t seed) : random_(seed * kSeedStride) {}

  void Run(duration until) {
    while (!events_.empty() && events_.top().at <= start_ + until) {
      const event next = events_.top();
      events_.pop();
      now_ = std::max(now_, next.at);
      next.action();
    }
    now_ = start_ + until;
  }
  [[nodiscard]] time_point start() const { return start_; }
  [[nodiscard]] seeded_random& random() { return random_; }

 protected:
  void At(time_point at, std::function<void()> action) {
    events_.push(
        {.at = at, .number = ++last_event_, .action = std::move(action)});
  }
  duration Milliseconds(std::uint32_t least, std::uint32_t spread) {
    return std::chrono::milliseconds(least + random_.Below(spread));
  }
  duration RandomGap(double per_second) {
    constexpr std::uint32_t kSteps = 10'000;
    const double uniform = (1.0 + random_.Below(kSteps - 1)) / kSteps;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(-std::log(uniform) / per_second));
  }

  seeded_random random_;
  const time_point start_{std::chrono::seconds(1000)};
  time_point now_ = start_;

 private:
  // Spreads seeds, as this generator ignores the lowest bits of its own.
  static constexpr std::uint32_t kSeedStride = 7919;

  struct event {
    time_point at;
    std::uint64_t number = 0;
    std::function<void()> action;
    friend bool operator<(const event& a, const event& b) {
      return std::tie(b.at, b.number) < std::tie(a.at, a.number);
    }
  };

  std::priority_queue<event> events_;
  std::uint64_t last_event_ = 0;
};

}  // namespace burdocklock::routing
