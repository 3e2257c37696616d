// Count, sum and percentiles of a series, computed with Boost.Accumulators.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include "framework/types/time.h"

namespace burdocklock {

inline constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.95, 0.99};

struct summary_values {
  std::uint64_t count = 0;
  double sum = 0;
  double max = 0;
  /// In the order of `kQuantiles`; zero if the window has no observations.
  std::array<double, kQuantiles.size()> quantiles{};
};

/// Count and sum cover the time since the process started; percentiles and
/// maximum cover the last complete window, or the current window if the
/// previous one has no observations.
class rolling_summary {
 public:
  static constexpr duration kWindow = std::chrono::seconds(60);

  rolling_summary();

  void Observe(double value, time_point now);
  [[nodiscard]] summary_values Values(time_point now);

 private:
  using accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;

  static accumulator MakeAccumulator();
  void Rotate(time_point now);

  std::uint64_t count_ = 0;
  double sum_ = 0;
  time_point window_start_{};
  accumulator current_;
  accumulator previous_;
};

}  // namespace burdocklock
