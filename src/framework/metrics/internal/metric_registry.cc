// See the header. Text format: https://prometheus.io/docs/instrumenting/
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

std::string Braced(const std::string& labels) {
  return labels.empty() ? std::string() : "{" + labels + "}";
}

std::string WithQuantile(const std::string& labels, double quantile) {
  std::ostringstream text;
  text << '{' << labels << (labels.empty() ? "" : ",") << "quantile=\""
       << quantile << "\"}";
  return text.str();
}

}  // namespace

std::uint64_t& metric_registry::Counter(std::string_view name,
                                        const labels& labels) {
  return counters_[std::string(name)][RenderLabels(labels)];
}

rolling_summary& metric_registry::Summary(std::string_view name,
                                          const labels& labels) {
  return summaries_[std::string(name)][RenderLabels(labels)];
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
      out << name << Braced(labels) << ' ' << value << '\n';
    }
  }
  for (const auto& [name, read] : gauges_) {
    out << "# TYPE " << name << " gauge\n" << name << ' ' << read() << '\n';
  }
  for (auto& [name, by_labels] : summaries_) {
    out << "# TYPE " << name << " summary\n";
    for (auto& [labels, summary] : by_labels) {
      const summary_values values = summary.Values(now);
      for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
        out << name << WithQuantile(labels, kQuantiles[i]) << ' '
            << values.quantiles[i] << '\n';
      }
      out << name << "_sum" << Braced(labels) << ' ' << values.sum << '\n';
      out << name << "_count" << Braced(labels) << ' ' << values.count << '\n';
    }
  }
  return out.str();
}

}  // namespace burdocklock
