// Keeps the account of slot time of one router at one target.
#include "targets/slot_time_share.h"

#include <algorithm>
#include <cmath>

namespace burdocklock::targets {

namespace {

// Weight of the latest answer in the mean time at the target.
constexpr double kEstimateWeight = 0.1;
// Part of what a request took beyond the mean, or less, that is charged for it.
// With all of it, the routers that see a queue at the target would leave it
// idle a moment later.
constexpr double kCorrected = 0.3;
// A request is charged at most this many times the mean, so that a single one
// that hangs does not keep the router from the target.
constexpr double kMostCharged = 4;
// A router that may use a target anew does so within this time.
constexpr double kLongestSpreadS = 0.1;
// In less time no target is taken to be stuck.
constexpr double kLeastStuckS = 0.1;
// A smaller part gives no time to begin that anyone waits for.
constexpr double kFarS = 3600;

}  // namespace

slot_time_share::slot_time_share(double place, time_point now)
    : place_(place),
      balance_s_(-place * kFirstEstimateS),
      filled_at_(now),
      last_change_(now) {}

double slot_time_share::BalanceAt(double part, time_point now) const {
  const double elapsed_s = now > filled_at_ ? ToSeconds(now - filled_at_) : 0;
  return std::min(balance_s_ + elapsed_s * part, estimate_s_);
}

bool slot_time_share::MayBegin(double part,
                               std::uint32_t in_flight,
                               time_point now) const {
  // The slots belong to other routers.
  if (part <= 0) {
    return false;
  }
  return in_flight < 1 + std::floor(part) && BalanceAt(part, now) >= 0;
}

time_point slot_time_share::NextBegin(double part, time_point now) const {
  const double balance_s = BalanceAt(part, now);
  if (balance_s >= 0) {
    return now;
  }
  if (part <= 0) {
    return kNever;
  }
  const double wait_s = -balance_s / part;
  if (wait_s > kFarS) {
    return kNever;
  }
  return now +
         std::chrono::ceil<duration>(std::chrono::duration<double>(wait_s));
}

void slot_time_share::Settle(double part, time_point now) {
  balance_s_ = BalanceAt(part, now);
  filled_at_ = now;
}

void slot_time_share::Restart(double part) {
  const double spread_s = std::min(estimate_s_, part * kLongestSpreadS);
  balance_s_ = std::min(balance_s_, -place_ * spread_s);
}

bool slot_time_share::IsStuck(std::uint32_t in_flight, time_point now) const {
  return in_flight > 0 &&
         ToSeconds(now - last_change_) >
             std::max(kMostCharged * estimate_s_, kLeastStuckS);
}

void slot_time_share::OnBegun(double part,
                              std::uint32_t in_flight,
                              time_point now) {
  if (in_flight == 0) {
    last_change_ = now;
  }
  balance_s_ = BalanceAt(part, now) - estimate_s_;
  filled_at_ = now;
}

void slot_time_share::OnEnded(duration at_target, ending how, time_point now) {
  last_change_ = now;
  const double taken_s = ToSeconds(at_target);
  if (how == ending::kRejected) {
    ++rejections_in_a_row_;
    return;
  }
  balance_s_ += kCorrected *
                (estimate_s_ - std::min(taken_s, kMostCharged * estimate_s_));
  if (how == ending::kAnswered) {
    rejections_in_a_row_ = 0;
    estimate_s_ +=
        (has_answered_ ? kEstimateWeight : 1) * (taken_s - estimate_s_);
    has_answered_ = true;
  }
}

}  // namespace burdocklock::targets
