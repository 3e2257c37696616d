// General parts: addresses, metrics and log lines.
#include <chrono>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "framework/logging/boost_logger.h"
#include "framework/metrics/metric_registry.h"
#include "framework/types/endpoint.h"

namespace burdocklock {
namespace {

using std::chrono::seconds;

TEST_CASE("endpoint: numeric addresses: parsed and written back") {
  for (const char* text : {"127.0.0.1:80", "[::1]:65535", "0.0.0.0:0"}) {
    const auto parsed = ParseEndpoint(text);
    REQUIRE(parsed.has_value());
    CHECK(ToString(*parsed) == text);
  }
}

TEST_CASE("endpoint: anything else: rejected") {
  for (const char* text : {"", ":", "localhost:80", "127.0.0.1", "1.2.3.4:x",
                           "1.2.3.4:65536", "1.2.3.4:-1", "1.2.3.4:"}) {
    CHECK(!ParseEndpoint(text).has_value());
  }
}

TEST_CASE("rolling summary: windows: percentiles of the last whole one") {
  rolling_summary summary;
  const time_point start{seconds(600)};
  for (int i = 1; i <= 100; ++i) {
    summary.Observe(i, start);
  }
  for (int i = 0; i < 100; ++i) {
    summary.Observe(1000, start + seconds(61));
  }
  const summary_values values = summary.Values(start + seconds(62));
  CHECK(values.count == 200);
  CHECK(values.quantiles[0] == Approx(50).margin(5));
  CHECK(values.max == 100);
  CHECK(summary.Values(start + seconds(300)).quantiles[0] == 0);
}

TEST_CASE("metric registry: rendered: Prometheus text with escaped labels") {
  metric_registry registry;
  registry.Counter("refusals_total", {{"reason", "a\"b\n"}}) = 3;
  registry.Gauge("waiting", [] { return 2.0; });
  registry.Summary("wait_seconds").Observe(0.5, time_point(seconds(1)));
  const std::string text = registry.Render(time_point(seconds(1)));
  CHECK(text.find("refusals_total{reason=\"a\\\"b\\n\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("# TYPE waiting gauge\nwaiting 2\n") != std::string::npos);
  CHECK(text.find("wait_seconds_count 1\n") != std::string::npos);
}

TEST_CASE("log line: any strings: one line of JSON") {
  rc::prop("no line breaks", [](const std::string& value) {
    const std::string line = FormatLogLine(
        log_record("e").Add("key", value).Add("n", 7), "d", "now");
    RC_ASSERT(line.find('\n') == std::string::npos);
    RC_ASSERT(line.starts_with("{\"time\":\"now\",\"level\":\"info\""));
  });
}

}  // namespace
}  // namespace burdocklock
