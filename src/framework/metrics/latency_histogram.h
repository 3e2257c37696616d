// Latencies counted in fixed buckets, with the recent percentiles beside them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "framework/metrics/rolling_summary.h"
#include "framework/types/time.h"

namespace burdocklock {

/// Upper ends of the buckets in seconds, ascending; they cover a round trip
/// within a data centre up to a long stream.
inline constexpr std::array<double, 15> kLatencyBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,   1,      2.5,   5,    10,    30,   120};

class latency_histogram {
 public:
  void Observe(duration latency, time_point now);

  /// Observations up to and including each of `kLatencyBounds`, over the
  /// process's life.
  [[nodiscard]] std::array<std::uint64_t, kLatencyBounds.size()> Cumulative()
      const;
  /// Count and sum over the process's life, percentiles of the recent past.
  [[nodiscard]] summary_values Values(time_point now) {
    return recent_.Values(now);
  }

 private:
  // The last one holds what is beyond all bounds.
  std::array<std::uint64_t, kLatencyBounds.size() + 1> buckets_{};
  rolling_summary recent_;
};

}  // namespace burdocklock
