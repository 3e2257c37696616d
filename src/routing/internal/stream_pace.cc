// See the header.
#include "routing/stream_pace.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace burdocklock::routing {

namespace {

// What remains of the weight of earlier values with each new one.
constexpr double kKept = 0.97;
// No shutdown takes longer.
constexpr std::chrono::duration<double> kMaxPrediction = std::chrono::hours(1);

}  // namespace

void recent_moments::Add(double value, double weight) {
  weight_ = weight_ * kKept + weight;
  sum_ = sum_ * kKept + weight * value;
  squares_ = squares_ * kKept + weight * value * value;
}

double recent_moments::Above(double deviations) const {
  const double mean = sum_ / weight_;
  const double variance = std::max(0.0, squares_ / weight_ - mean * mean);
  return mean + deviations * std::sqrt(variance);
}

void stream_pace::OnCompleted(std::uint32_t tokens,
                              duration first_output,
                              duration output) {
  if (tokens == 0) {
    return;
  }
  first_output_.Add(ToSeconds(first_output), 1);
  pace_.Add(ToSeconds(output) / tokens, tokens);
}

std::optional<duration> stream_pace::LikelyLongest(std::uint32_t tokens,
                                                   double deviations) const {
  if (pace_.empty()) {
    return std::nullopt;
  }
  const double longest =
      first_output_.Above(deviations) + tokens * pace_.Above(deviations);
  return std::chrono::ceil<duration>(
      std::chrono::duration<double>(std::min(longest, kMaxPrediction.count())));
}

}  // namespace burdocklock::routing
