// Folds routers' reports of targets' speeds, and decides what is told of them.
#include "control/learned_speeds.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace burdocklock::control {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMemory{500};
// A target of which nothing was reported for this time is forgotten.
constexpr std::chrono::seconds kRetention{60};
constexpr double kNotableChange = 0.1;
// How long news are told: at least two summaries carry them.
constexpr milliseconds kToldFor{1000};
constexpr std::chrono::seconds kToldAgain{20};
// For this time the limit of a router with more samples counts.
constexpr milliseconds kLimitHolds{1000};
// Weight of a report at most, so that one router does not stand for all.
constexpr double kMaxSamples = 1000;

}  // namespace

void learned_speeds::OnReport(const admission::learned_speed& speed,
                              time_point now) {
  RemoveOld(now);
  const bool is_valid = speed.base_ms > 0 && speed.samples > 0;
  entry& known = entries_[speed.target];
  if (!is_valid || speed.life < known.life) {
    return;
  }
  if (known.life < speed.life) {
    known = {.life = speed.life};
  }
  const double samples = std::min<double>(speed.samples, kMaxSamples);
  known.weight *=
      std::exp(-ToSeconds(now - known.reported) / ToSeconds(kMemory));
  known.weight += samples;
  known.log_base +=
      (std::log(speed.base_ms) - known.log_base) * samples / known.weight;
  known.reported = now;
  if (speed.samples >= known.limit_samples ||
      now - known.limit_at >= kLimitHolds) {
    known.limit = speed.limit;
    known.limit_samples = speed.samples;
    known.limit_at = now;
  }
  const bool is_notable =
      std::abs(known.log_base - known.told_log_base) > kNotableChange ||
      known.limit != known.told_limit;
  if (is_notable || now - known.told >= kToldAgain) {
    known.told_log_base = known.log_base;
    known.told_limit = known.limit;
    known.told = now;
  }
}

learned_speeds::news learned_speeds::News(time_point now) const {
  news found;
  for (const auto& [target, known] : entries_) {
    if (known.weight <= 0) {
      continue;
    }
    const admission::learned_speed speed{
        .target = target,
        .life = known.life,
        .base_ms = std::exp(known.log_base),
        .samples = static_cast<std::uint32_t>(
            std::clamp(known.weight, 1.0, kMaxSamples)),
        .limit = known.limit};
    found.all.push_back(speed);
    if (now - known.told < kToldFor) {
      found.changed.push_back(speed);
    }
  }
  return found;
}

void learned_speeds::RemoveOld(time_point now) {
  if (now < next_removal_) {
    return;
  }
  next_removal_ = now + kRetention;
  std::erase_if(entries_, [now](const auto& entry) {
    return now - entry.second.reported >= kRetention;
  });
}

}  // namespace burdocklock::control
