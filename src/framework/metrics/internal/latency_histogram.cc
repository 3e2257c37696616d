// Assigns latencies to buckets and computes the cumulative bucket counts.
#include "framework/metrics/latency_histogram.h"

#include <algorithm>
#include <numeric>

namespace burdocklock {

void latency_histogram::Observe(duration latency, time_point now) {
  const double seconds = ToSeconds(latency);
  const auto* bound =
      std::lower_bound(kLatencyBounds.begin(), kLatencyBounds.end(), seconds);
  ++buckets_[static_cast<std::size_t>(bound - kLatencyBounds.begin())];
  recent_.Observe(seconds, now);
}

std::array<std::uint64_t, kLatencyBounds.size()> latency_histogram::Cumulative()
    const {
  std::array<std::uint64_t, kLatencyBounds.size()> counts{};
  std::partial_sum(buckets_.begin(), buckets_.end() - 1, counts.begin());
  return counts;
}

}  // namespace burdocklock
