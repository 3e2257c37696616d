// Named counters, gauges and latency histograms with Prometheus text output.
// Not thread-safe; used only on the control thread.
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

  /// Returns the counter with that name and labels, created with value 0 on
  /// first use. The reference is valid for the lifetime of the registry.
  std::uint64_t& Counter(std::string_view name, const labels& labels = {});
  /// Like `Counter`. Rendered as a histogram with that name and as a gauge of
  /// the recent percentiles with the suffix `_recent`; both in seconds.
  latency_histogram& Latency(std::string_view name, const labels& labels = {});
  /// Registers a gauge; `read` is called when metrics are rendered.
  void Gauge(std::string_view name, std::function<double()> read);

  /// Renders all metrics in Prometheus text format 0.0.4.
  std::string Render(time_point now);

 private:
  void RenderLatencies(std::ostream& out, time_point now);

  // Keyed by name, then by rendered labels, so that the output is sorted.
  template <typename T>
  using series = std::map<std::string, std::map<std::string, T>, std::less<>>;

  series<std::uint64_t> counters_;
  series<latency_histogram> latencies_;
  std::map<std::string, std::function<double()>, std::less<>> gauges_;
};

}  // namespace burdocklock
