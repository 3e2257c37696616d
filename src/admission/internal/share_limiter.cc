// See the header.
#include "admission/share_limiter.h"

#include <algorithm>

namespace burdocklock::admission {

namespace {

// A bucket holds what the share allows in this time, so that a short burst is
// not held against a customer.
constexpr double kBucketSeconds = 1.0;
// The pool is short if this many times what is begun is asked.
constexpr double kShortFactor = 1.15;
// How often the share is computed anew.
constexpr std::chrono::milliseconds kUpdatePeriod{100};
// Flows below this many tokens a second are not worth telling.
constexpr double kLeastFlow = 1.0;

}  // namespace

void share_limiter::OnAsked(const customer_id& customer,
                            double tokens,
                            time_point now) {
  lines_[customer].asked.Add(tokens, now);
  if (now - updated_at_ >= kUpdatePeriod) {
    UpdateShare(now);
  }
}

void share_limiter::OnBegun(const customer_id& customer,
                            double tokens,
                            time_point now) {
  line& line = lines_[customer];
  line.begun.Add(tokens, now);
  Refill(line, now);
  line.bucket -= tokens;
}

void share_limiter::OnReturned(const customer_id& customer,
                               double tokens,
                               time_point now) {
  line& line = lines_[customer];
  line.begun.Add(-tokens, now);
  Refill(line, now);
  line.bucket += tokens;
}

void share_limiter::SetOthers(const std::vector<customer_flow>& others,
                              time_point now) {
  for (auto& [customer, line] : lines_) {
    line.others_asked = 0;
    line.others_begun = 0;
  }
  for (const customer_flow& flow : others) {
    if (flow.pool == pool_) {
      line& line = lines_[flow.customer];
      line.others_asked = flow.asked;
      line.others_begun = flow.begun;
    }
  }
  UpdateShare(now);
}

void share_limiter::UpdateShare(time_point now) {
  updated_at_ = now;
  std::vector<double> asked;
  double asked_in_all = 0;
  double begun_in_all = 0;
  for (auto& [customer, line] : lines_) {
    Refill(line, now);
    asked.push_back(line.asked.Rate(now) + line.others_asked);
    asked_in_all += asked.back();
    begun_in_all += line.begun.Rate(now) + line.others_begun;
  }
  const double capacity = std::max(begun_in_all, known_capacity_);
  share_ = asked_in_all > kShortFactor * capacity
               ? MaxMinShare(std::move(asked), capacity)
               : kNoLimit;
}

double share_limiter::LimitOf(const line& line, time_point now) const {
  if (share_ == kNoLimit) {
    return kNoLimit;
  }
  const double own = line.asked.Rate(now);
  const double all = own + line.others_asked;
  return all > 0 ? share_ * own / all : share_;
}

void share_limiter::Refill(line& line, time_point now) {
  const double limit = LimitOf(line, now);
  if (limit == kNoLimit) {
    line.bucket = 0;
    line.filled_at = now;
    return;
  }
  const double passed =
      line.filled_at == time_point{} ? 0 : ToSeconds(now - line.filled_at);
  line.filled_at = now;
  line.bucket = std::min(line.bucket + limit * passed, limit * kBucketSeconds);
}

bool share_limiter::IsOver(const customer_id& customer, time_point now) {
  if (share_ == kNoLimit) {
    return false;
  }
  line& line = lines_[customer];
  Refill(line, now);
  return line.bucket < 0;
}

double share_limiter::OwnPart(time_point now) const {
  double own = 0;
  double all = 0;
  for (const auto& [customer, line] : lines_) {
    own += line.asked.Rate(now);
    all += line.asked.Rate(now) + line.others_asked;
  }
  return all > 0 ? own / all : 1;
}

std::vector<customer_flow> share_limiter::Flows(time_point now) const {
  std::vector<customer_flow> flows;
  for (const auto& [customer, line] : lines_) {
    const customer_flow flow{.pool = pool_,
                             .customer = customer,
                             .asked = line.asked.Rate(now),
                             .begun = line.begun.Rate(now)};
    if (flow.asked >= kLeastFlow || flow.begun >= kLeastFlow) {
      flows.push_back(flow);
    }
  }
  return flows;
}

}  // namespace burdocklock::admission
