// Orders answers by their arrival and forgets limits that nobody hears of.
#include "targets/named_rate_limit.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace burdocklock::targets {

namespace {

using std::chrono::milliseconds;

// A limit that no router has heard of for this long no longer holds.
constexpr std::chrono::seconds kTimeout{30};
// A router tells the others of an answer for this long.
constexpr std::chrono::seconds kReportTime{10};
// Larger ages are capped, so that they cannot overflow.
constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;

}  // namespace

bool named_rate_limit::OnAnswer(std::optional<double> per_second,
                                time_point received) {
  if (received < heard_ || (!per_second && !was_named_)) {
    return false;
  }
  const bool changed = per_second_ != per_second;
  per_second_ = per_second;
  heard_ = received;
  is_own_ = true;
  was_named_ = true;
  return changed;
}

void named_rate_limit::OnReport(const admission::named_rate& reported,
                                time_point now) {
  const time_point heard =
      now - milliseconds(std::min(reported.age_ms, kMaxAgeMs));
  if (heard <= heard_) {
    return;
  }
  per_second_ = reported.per_second;
  heard_ = heard;
  is_own_ = false;
  was_named_ = true;
}

std::optional<double> named_rate_limit::PerSecond(time_point now) const {
  return now - heard_ < kTimeout ? per_second_ : std::nullopt;
}

std::optional<admission::named_rate> named_rate_limit::ToReport(
    time_point now) const {
  if (!is_own_ || now - heard_ >= kReportTime) {
    return std::nullopt;
  }
  const auto age = std::chrono::duration_cast<milliseconds>(now - heard_);
  return admission::named_rate{
      .per_second = per_second_,
      .age_ms = static_cast<std::uint64_t>(age.count())};
}

bool named_rate_limit::HasRoom(double part, time_point now) const {
  const auto per_second = PerSecond(now);
  return !per_second || bucket_.HasToken(*per_second * part, now);
}

void named_rate_limit::OnSent(double part, time_point now) {
  if (const auto per_second = PerSecond(now)) {
    bucket_.TakeToken(*per_second * part, now);
  }
}

}  // namespace burdocklock::targets
