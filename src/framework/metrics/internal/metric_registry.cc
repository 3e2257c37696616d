// Text format: https://prometheus.io/docs/instrumenting/
// exposition_formats/
#include "framework/metrics/metric_registry.h"

#include <sstream>

namespace burdocklock {

namespace {

std::string EscapeLabelValue(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string RenderLabels(const metric_registry::labels& labels) {
  std::string text;
  for (const metric_label& label : labels) {
    if (!text.empty()) {
      text += ',';
    }
    text += label.key + "=\"" + EscapeLabelValue(label.value) + '"';
  }
  return text;
}

std::string WithBraces(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

// Appends one label and encloses all of them in braces.
std::string WithLabel(const std::string& labels,
                      const std::string& key,
                      const std::string& value) {
  return "{" + labels + (labels.empty() ? "" : ",") + key + "=\"" + value +
         "\"}";
}

std::string FormatNumber(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

void RenderHistogram(std::ostream& out,
                     const std::string& name,
                     const std::string& labels,
                     const latency_histogram& histogram,
                     const summary_values& values) {
  const auto counts = histogram.Cumulative();
  for (std::size_t i = 0; i < kLatencyBounds.size(); ++i) {
    out << name << "_bucket"
        << WithLabel(labels, "le", FormatNumber(kLatencyBounds[i])) << ' '
        << counts[i] << '\n';
  }
  out << name << "_bucket" << WithLabel(labels, "le", "+Inf") << ' '
      << values.count << '\n'
      << name << "_sum" << WithBraces(labels) << ' ' << values.sum << '\n'
      << name << "_count" << WithBraces(labels) << ' ' << values.count << '\n';
}

}  // namespace

std::uint64_t& metric_registry::Counter(std::string_view name,
                                        const labels& labels) {
  return counters_[std::string(name)][RenderLabels(labels)];
}

latency_histogram& metric_registry::Latency(std::string_view name,
                                            const labels& labels) {
  return latencies_[std::string(name)][RenderLabels(labels)];
}

void metric_registry::Gauge(std::string_view name,
                            std::function<double()> read) {
  gauges_[std::string(name)] = std::move(read);
}

std::string metric_registry::Render(time_point now) {
  std::ostringstream out;
  for (const auto& [name, by_labels] : counters_) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, value] : by_labels) {
      out << name << WithBraces(labels) << ' ' << value << '\n';
    }
  }
  for (const auto& [name, read] : gauges_) {
    out << "# TYPE " << name << " gauge\n" << name << ' ' << read() << '\n';
  }
  RenderLatencies(out, now);
  return out.str();
}

void metric_registry::RenderLatencies(std::ostream& out, time_point now) {
  for (auto& [name, by_labels] : latencies_) {
    std::ostringstream recent;
    out << "# TYPE " << name << " histogram\n";
    for (auto& [labels, histogram] : by_labels) {
      const summary_values values = histogram.Values(now);
      RenderHistogram(out, name, labels, histogram, values);
      for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
        recent << name << "_recent"
               << WithLabel(labels, "quantile", FormatNumber(kQuantiles[i]))
               << ' ' << values.quantiles[i] << '\n';
      }
    }
    out << "# TYPE " << name << "_recent gauge\n" << recent.str();
  }
}

}  // namespace burdocklock
