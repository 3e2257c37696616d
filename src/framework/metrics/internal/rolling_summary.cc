// Accumulates values per window and reads percentiles and the maximum from the
// previous window, or from the current one if the previous one is empty.
#include "framework/metrics/rolling_summary.h"

#include <utility>

namespace burdocklock {

namespace acc = boost::accumulators;

rolling_summary::rolling_summary()
    : current_(MakeAccumulator()), previous_(MakeAccumulator()) {}

rolling_summary::accumulator rolling_summary::MakeAccumulator() {
  return accumulator(acc::extended_p_square_probabilities = kQuantiles);
}

void rolling_summary::Observe(double value, time_point now) {
  Rotate(now);
  ++count_;
  sum_ += value;
  current_(value);
}

summary_values rolling_summary::Values(time_point now) {
  Rotate(now);
  const accumulator& source = acc::count(previous_) > 0 ? previous_ : current_;
  summary_values values{.count = count_, .sum = sum_};
  if (acc::count(source) == 0) {
    return values;
  }
  values.max = acc::max(source);
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    values.quantiles[i] =
        acc::extended_p_square(source)[static_cast<std::ptrdiff_t>(i)];
  }
  return values;
}

void rolling_summary::Rotate(time_point now) {
  if (now - window_start_ < kWindow) {
    return;
  }
  const bool adjacent = now - window_start_ < 2 * kWindow;
  previous_ = adjacent ? std::move(current_) : MakeAccumulator();
  current_ = MakeAccumulator();
  window_start_ = now;
}

}  // namespace burdocklock
