// Latency histogram with fixed buckets, plus percentiles of a recent window.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "framework/metrics/rolling_summary.h"
#include "framework/types/time.h"

namespace burdocklock {

/// Bucket upper bounds in seconds, ascending. They range from a round trip
/// within a data centre to a long stream.
inline constexpr std::array<double, 15> kLatencyBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,   1,      2.5,   5,    10,    30,   120};

class latency_histogram {
 public:
  void Observe(duration latency, time_point now);

  /// Number of observations less than or equal to each of `kLatencyBounds`,
  /// since the process started.
  [[nodiscard]] std::array<std::uint64_t, kLatencyBounds.size()> Cumulative()
      const;
  /// Count and sum since the process started, and recent percentiles.
  [[nodiscard]] summary_values Values(time_point now) {
    return recent_.Values(now);
  }

 private:
  // The last bucket counts observations above all bounds.
  std::array<std::uint64_t, kLatencyBounds.size() + 1> buckets_{};
  rolling_summary recent_;
};

}  // namespace burdocklock
