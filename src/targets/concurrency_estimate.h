// What a target's latencies show: how long it takes at low load, how that grows
// with the requests in flight, and from which number on more of them serve
// nobody sooner.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "framework/types/time.h"

namespace burdocklock::targets {

/// Exponentially decaying mean of logarithms, with the error of the mean.
class decaying_mean {
 public:
  /// After a time without samples that is longer than `memory` the span begins
  /// anew.
  void Add(double value, double weight, duration memory, time_point now);
  /// Reduces the weight of what is known.
  void Forget(double kept) { weight_ *= kept; }

  [[nodiscard]] double mean() const { return mean_; }
  /// Number of recent samples that the mean is worth.
  [[nodiscard]] double weight() const { return weight_; }
  /// What is left of the weight at `now`.
  [[nodiscard]] double WeightAt(duration memory, time_point now) const;
  /// Standard error of the mean.
  [[nodiscard]] double Error() const;
  [[nodiscard]] time_point last() const { return last_; }
  /// Time between the first and the last sample of those that followed each
  /// other.
  [[nodiscard]] duration span() const { return last_ - first_; }

 private:
  double weight_ = 0;
  double mean_ = 0;
  double square_ = 0;
  time_point first_{};
  time_point last_{};
};

/// A latency is taken for the product of a base, which follows changes of speed
/// and noise fast, and the growth at a level of requests in flight, which
/// changes slowly. O(1) per sample.
///
/// Invariant: 1 <= limit() <= slots.
class concurrency_estimate {
 public:
  explicit concurrency_estimate(std::uint32_t slots);

  /// A request took `latency`; `in_flight` were at the target when it was sent,
  /// itself included. Returns whether the limit has changed.
  bool OnSample(std::uint32_t in_flight, duration latency, time_point now);
  /// Samples of other routers: their mean latency at low load, and the limit
  /// that these learned; it counts as long as none is learned here.
  void OnShared(duration base,
                std::uint32_t samples,
                std::uint32_t limit,
                time_point now);

  [[nodiscard]] std::uint32_t limit() const;
  [[nodiscard]] bool is_known() const { return base_.weight() > 0; }
  /// Logarithm of the latency at low load in milliseconds, and its standard
  /// error. Only if known.
  [[nodiscard]] double log_base_ms() const { return base_.mean(); }
  [[nodiscard]] double base_error() const { return base_.Error(); }
  /// The expected latency of a request with which `in_flight` are at the
  /// target, relative to that at low load.
  [[nodiscard]] double GrowthAt(std::uint32_t in_flight) const;
  /// When a request was last seen to end, here or by another router.
  [[nodiscard]] time_point last_sample() const { return base_.last(); }

  /// Mean latency at low load of the samples since the last report; nullopt if
  /// there are none, or they are no news yet: what all routers have learned is
  /// about the same, and was reported less than a second ago.
  struct report {
    double base_ms = 0;
    std::uint32_t samples = 0;
  };
  [[nodiscard]] std::optional<report> TakeReport(time_point now);

 private:
  static constexpr std::size_t kMaxLevels = 8;

  [[nodiscard]] std::size_t LevelOf(std::uint32_t in_flight) const;
  [[nodiscard]] double InFlightAt(std::size_t level) const;
  [[nodiscard]] double LogGrowth(std::size_t level) const;
  /// Whether enough was seen of the level lately, at the time of the last
  /// sample of any level.
  [[nodiscard]] bool IsKnown(std::size_t level) const;
  [[nodiscard]] double LogThroughput(std::size_t level) const;
  /// Returns whether no level above has notably more throughput.
  [[nodiscard]] bool IsKnee(std::size_t level, std::size_t highest) const;
  /// Returns the lowest such level; the highest one if none is known to be.
  [[nodiscard]] std::size_t FindKnee() const;
  /// Returns whether the limit has changed.
  bool UpdateCap(time_point now);

  std::uint32_t slots_;
  std::size_t levels_;
  decaying_mean base_;
  /// As the base, with a shorter memory: what growth is relative to, so that a
  /// change of speed isn't taken for growth while the base follows.
  decaying_mean reference_;
  /// As logarithms. That of the lowest level is 0; samples there count.
  std::array<decaying_mean, kMaxLevels> growth_;
  /// The highest level that may be used.
  std::size_t cap_;
  time_point cap_changed_{};
  double reported_sum_ = 0;
  std::uint32_t reported_samples_ = 0;
  std::uint32_t reported_limit_ = 0;
  time_point last_report_{};
  /// What all routers have learned, as a logarithm; absent if unknown.
  std::optional<double> shared_;
};

}  // namespace burdocklock::targets
