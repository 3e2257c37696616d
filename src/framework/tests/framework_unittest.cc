// Tests of endpoint parsing, metrics and log formatting.
#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "framework/logging/boost_logger.h"
#include "framework/metrics/metric_registry.h"
#include "framework/types/endpoint.h"

namespace burdocklock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("endpoint: numeric addresses: parsed and formatted back") {
  for (const char* text : {"127.0.0.1:80", "[::1]:65535", "0.0.0.0:0"}) {
    const auto parsed = ParseEndpoint(text);
    REQUIRE(parsed.has_value());
    CHECK(ToString(*parsed) == text);
  }
}

TEST_CASE("endpoint: invalid input: rejected") {
  for (const char* text : {"", ":", "localhost:80", "127.0.0.1", "1.2.3.4:x",
                           "1.2.3.4:65536", "1.2.3.4:-1", "1.2.3.4:"}) {
    CHECK(!ParseEndpoint(text).has_value());
  }
}

TEST_CASE("rolling summary: windows: percentiles of the last complete window") {
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
  registry.Latency("wait_seconds")
      .Observe(milliseconds(500), time_point(seconds(1)));
  const std::string text = registry.Render(time_point(seconds(1)));
  CHECK(text.find("refusals_total{reason=\"a\\\"b\\n\"} 3\n") !=
        std::string::npos);
  CHECK(text.find("# TYPE waiting gauge\nwaiting 2\n") != std::string::npos);
  CHECK(text.find("wait_seconds_count 1\n") != std::string::npos);
}

TEST_CASE("latency histogram: rendered: cumulative buckets with their bounds") {
  metric_registry registry;
  latency_histogram& waits =
      registry.Latency("wait_seconds", {{"pool", "lamp"}});
  const time_point now{seconds(1)};
  for (const milliseconds wait : {milliseconds(1), milliseconds(3),
                                  milliseconds(400), milliseconds(200'000)}) {
    waits.Observe(wait, now);
  }
  const std::string text = registry.Render(now);
  for (const char* line : {
           "# TYPE wait_seconds histogram\n",
           "wait_seconds_bucket{pool=\"lamp\",le=\"0.001\"} 1\n",
           "wait_seconds_bucket{pool=\"lamp\",le=\"0.005\"} 2\n",
           "wait_seconds_bucket{pool=\"lamp\",le=\"0.5\"} 3\n",
           "wait_seconds_bucket{pool=\"lamp\",le=\"120\"} 3\n",
           "wait_seconds_bucket{pool=\"lamp\",le=\"+Inf\"} 4\n",
           "wait_seconds_count{pool=\"lamp\"} 4\n",
           "# TYPE wait_seconds_recent gauge\n",
           "wait_seconds_recent{pool=\"lamp\",quantile=\"0.5\"} ",
       }) {
    INFO(line);
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST_CASE("latency histogram: any latencies: buckets add up to the count") {
  rc::prop(
      "cumulative counts are non-decreasing and end at the number within "
      "bounds",
      [] {
        latency_histogram histogram;
        const time_point now{seconds(1)};
        const auto latencies =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300'000));
        std::size_t within = 0;
        for (const int latency : latencies) {
          histogram.Observe(milliseconds(latency), now);
          within += latency <= 120'000 ? 1 : 0;
        }
        const auto counts = histogram.Cumulative();
        RC_ASSERT(std::is_sorted(counts.begin(), counts.end()));
        RC_ASSERT(counts.back() == within);
        RC_ASSERT(histogram.Values(now).count == latencies.size());
      });
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
