// Learns latency by requests in flight, and the limit that follows from it.
#include "targets/concurrency_estimate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdocklock::targets {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBaseMemory{500};
constexpr milliseconds kReferenceMemory{100};
constexpr milliseconds kGrowthMemory{4000};
// A limit rises by a level in this time.
constexpr milliseconds kRiseInterval{2000};
// What a probe leaves of the knowledge of the levels above the limit.
constexpr double kKeptAbove = 0.25;

// Weight of no growth at first, so that what the first calls take more or less
// than the mean is not taken for growth.
constexpr double kPriorWeight = 4;
// Samples from which on a level is known, and the time that they must span:
// more than a disturbance lasts that is no property of the level.
constexpr double kMinWeight = 12;
constexpr milliseconds kMinSampled{1000};
// Weight that the samples of other routers have at most at once.
constexpr double kMaxSharedWeight = 8;
// Deviation that latencies are taken to have at least, as a fraction.
constexpr double kMinDeviation = 0.1;
// Samples of a single outlier count up to this factor.
constexpr double kMaxFactor = 8;

// Reports of a target: not more often than the first, and not less often than
// the second while there are samples.
constexpr milliseconds kMinReportInterval{200};
constexpr milliseconds kMaxReportInterval{1000};
// Difference from what all have learned that is worth a report at once.
constexpr double kNotableNews = 0.2;

// Part of the requests added by which throughput must rise to be worth them.
constexpr double kWorthwhileRise = 0.15;
// Requests in flight, relative to the limit, that must have been seen.
constexpr double kMinSpan = 4.0 / 3;
constexpr double kKneeErrors = 2;
// Growth beyond the levels that have been seen, as an exponent of the requests
// in flight: between none and that of a server that is full.
constexpr double kUnseenGrowth = 0.5;

}  // namespace

void decaying_mean::Add(double value,
                        double weight,
                        duration memory,
                        time_point now) {
  weight_ = WeightAt(memory, now);
  first_ = now - last_ > memory ? now : first_;
  last_ = std::max(now, last_);
  weight_ += weight;
  mean_ += (value - mean_) * weight / weight_;
  square_ += (value * value - square_) * weight / weight_;
}

double decaying_mean::WeightAt(duration memory, time_point now) const {
  const double age = ToSeconds(std::max(now - last_, duration::zero()));
  return weight_ * std::exp(-age / ToSeconds(memory));
}

double decaying_mean::Error() const {
  const double variance = std::max(square_ - mean_ * mean_, 0.0);
  return std::sqrt(std::max(variance, kMinDeviation * kMinDeviation) / weight_);
}

concurrency_estimate::concurrency_estimate(std::uint32_t slots)
    : slots_(std::max(slots, 1U)),
      levels_(std::min<std::size_t>(slots_, kMaxLevels)),
      cap_(levels_ - 1) {}

bool concurrency_estimate::OnSample(std::uint32_t in_flight,
                                    duration latency,
                                    time_point now) {
  if (latency <= duration::zero()) {
    return false;
  }
  const std::size_t level = LevelOf(in_flight);
  double value = std::log(ToMilliseconds(latency));
  if (is_known()) {
    const double expected = base_.mean() + LogGrowth(level);
    value = std::clamp(value, expected - std::log(kMaxFactor),
                       expected + std::log(kMaxFactor));
    if (growth_[level].weight() <= 0) {
      growth_[level].Add(0, kPriorWeight, kGrowthMemory, now);
    }
    growth_[level].Add(level == 0 ? 0 : value - reference_.mean(), 1,
                       kGrowthMemory, now);
  }
  const double low = value - LogGrowth(level);
  base_.Add(low, 1, kBaseMemory, now);
  reference_.Add(low, 1, kReferenceMemory, now);
  reported_sum_ += low;
  ++reported_samples_;
  return UpdateCap(now);
}

void concurrency_estimate::OnShared(duration base,
                                    std::uint32_t samples,
                                    std::uint32_t limit,
                                    time_point now) {
  if (base <= duration::zero() || samples == 0) {
    return;
  }
  base_.Add(std::log(ToMilliseconds(base)),
            std::min<double>(samples, kMaxSharedWeight), kBaseMemory, now);
  shared_ = std::log(ToMilliseconds(base));
  if (reference_.weight() <= 0) {
    reference_ = base_;
  }
  const bool is_learned_here =
      std::any_of(growth_.begin(), growth_.end(), [now](const auto& level) {
        return level.WeightAt(kGrowthMemory, now) >= kMinWeight;
      });
  if (limit > 0 && limit < slots_ && !is_learned_here) {
    cap_ = LevelOf(limit);
    cap_changed_ = now;
  }
}

std::uint32_t concurrency_estimate::limit() const {
  return static_cast<std::uint32_t>((cap_ + 1) * slots_ / levels_);
}

double concurrency_estimate::GrowthAt(std::uint32_t in_flight) const {
  const std::size_t level = LevelOf(in_flight);
  for (std::size_t known = level + 1; known-- > 0;) {
    if (known > 0 && !IsKnown(known)) {
      continue;
    }
    const double beyond =
        known == level ? 1
                       : std::max(1.0, InFlightAt(level) / InFlightAt(known));
    return std::exp(LogGrowth(known)) * std::pow(beyond, kUnseenGrowth);
  }
  return 1;
}

std::optional<concurrency_estimate::report> concurrency_estimate::TakeReport(
    time_point now) {
  if (reported_samples_ == 0 || now - last_report_ < kMinReportInterval) {
    return std::nullopt;
  }
  const double mean = reported_sum_ / reported_samples_;
  const bool is_news = !shared_ || std::abs(mean - *shared_) > kNotableNews ||
                       limit() != reported_limit_;
  if (!is_news && now - last_report_ < kMaxReportInterval) {
    return std::nullopt;
  }
  last_report_ = now;
  reported_limit_ = limit();
  const report taken{.base_ms = std::exp(mean),
                     .samples = std::exchange(reported_samples_, 0)};
  reported_sum_ = 0;
  return taken;
}

std::size_t concurrency_estimate::LevelOf(std::uint32_t in_flight) const {
  const std::uint64_t counted = std::clamp(in_flight, 1U, slots_);
  return static_cast<std::size_t>((counted * levels_ + slots_ - 1) / slots_) -
         1;
}

double concurrency_estimate::InFlightAt(std::size_t level) const {
  // The middle of the level.
  const double width =
      static_cast<double>(slots_) / static_cast<double>(levels_);
  return width * static_cast<double>(level) + (width + 1) / 2;
}

double concurrency_estimate::LogGrowth(std::size_t level) const {
  return level == 0 ? 0 : growth_[level].mean();
}

bool concurrency_estimate::IsKnown(std::size_t level) const {
  const decaying_mean& seen = growth_[level];
  return seen.WeightAt(kGrowthMemory, base_.last()) >= kMinWeight &&
         seen.span() >= kMinSampled;
}

double concurrency_estimate::LogThroughput(std::size_t level) const {
  return std::log(InFlightAt(level)) - LogGrowth(level);
}

bool concurrency_estimate::IsKnee(std::size_t level,
                                  std::size_t highest) const {
  const double error_here = level == 0 ? 0 : growth_[level].Error();
  for (std::size_t above = level + 1; above <= highest; ++above) {
    if (!IsKnown(above)) {
      continue;
    }
    const double rise = LogThroughput(above) - LogThroughput(level);
    const double worthwhile =
        kWorthwhileRise * std::log(InFlightAt(above) / InFlightAt(level));
    const double error =
        above == highest
            ? kKneeErrors * std::hypot(growth_[above].Error(), error_here)
            : 0;
    if (rise + error > worthwhile) {
      return false;
    }
  }
  return true;
}

std::size_t concurrency_estimate::FindKnee() const {
  std::size_t highest = levels_ - 1;
  while (highest > 0 && !IsKnown(highest)) {
    --highest;
  }
  for (std::size_t level = 0; level < highest; ++level) {
    if (InFlightAt(highest) < InFlightAt(level) * kMinSpan) {
      break;
    }
    if (IsKnown(level) && IsKnee(level, highest)) {
      return level;
    }
  }
  return levels_ - 1;
}

bool concurrency_estimate::UpdateCap(time_point now) {
  const std::size_t before = cap_;
  if (cap_ + 1 < levels_ && now - cap_changed_ >= kRiseInterval) {
    for (std::size_t above = cap_ + 1; above < levels_; ++above) {
      growth_[above].Forget(kKeptAbove);
    }
    ++cap_;
    cap_changed_ = now;
  }
  const std::size_t knee = FindKnee();
  if (knee < cap_) {
    cap_ = knee;
    cap_changed_ = now;
  }
  return cap_ != before;
}

}  // namespace burdocklock::targets
