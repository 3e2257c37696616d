// Named counters, gauges and latency histograms with Prometheus text output.
// Not thread-safe: it belongs to the control thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "framework/metrics/latency_histogram.h"
#include "framework/types/time.h"

namespace burdocklock {

struct metric_label {
  std::string key;
  std::string value;
};

class metric_registry {
 public:
  using labels = std::vector<metric_label>;

  /// The counter of that name and labels; created at zero. The reference stays
  /// valid for the registry's life.
  std::uint64_t& Counter(std::string_view name, const labels& labels = {});
  /// As `Counter`. Rendered as a histogram of that name and, with the suffix
  /// `_recent`, as a gauge of the recent percentiles; both in seconds.
  latency_histogram& Latency(std::string_view name, const labels& labels = {});
  /// Registers a value that is read when metrics are rendered.
  void Gauge(std::string_view name, std::function<double()> read);

  /// All metrics in Prometheus text format 0.0.4.
  std::string Render(time_point now);

 private:
  void RenderLatencies(std::ostream& out, time_point now);

  // Keyed by name, then by rendered labels, so that output is sorted.
  template <typename T>
  using series = std::map<std::string, std::map<std::string, T>, std::less<>>;

  series<std::uint64_t> counters_;
  series<latency_histogram> latencies_;
  std::map<std::string, std::function<double()>, std::less<>> gauges_;
};

}  // namespace burdocklock
