// See the header.
#include "admission/share_margin.h"

#include <algorithm>
#include <chrono>

namespace burdocklock::admission {

namespace {

constexpr std::chrono::seconds kWindow{6};
// A longer time without reports ends the window: nothing is known of it.
constexpr std::chrono::seconds kMaxInterval{2};
// Customers to whom less than this part of the best served one's work was due
// are left out.
constexpr double kMinDuePart = 0.02;

}  // namespace

void share_margin::OnTotals(std::vector<customer_flow> totals, time_point now) {
  if (now - since_ > kMaxInterval) {
    intervals_.clear();
    sums_.clear();
    seen_ = {};
  } else {
    AddInterval(now);
    DropOld(now);
  }
  current_ = std::move(totals);
  since_ = now;
}

void share_margin::AddInterval(time_point now) {
  std::map<pool_id, double> best;
  for (const customer_flow& flow : current_) {
    double& most = best[flow.pool];
    most = std::max(most, flow.started);
  }
  const double seconds = ToSeconds(now - since_);
  interval added{.ended = now, .length = now - since_, .amounts = {}};
  for (const customer_flow& flow : current_) {
    const amount got{.due = seconds * std::min(flow.demand, best[flow.pool]),
                     .begun = seconds * flow.started};
    const key of{flow.pool, flow.customer};
    added.amounts[of] = got;
    sums_[of].due += got.due;
    sums_[of].begun += got.begun;
  }
  seen_ += added.length;
  intervals_.push_back(std::move(added));
}

void share_margin::DropOld(time_point now) {
  while (now - intervals_.front().ended >= kWindow) {
    for (const auto& [of, got] : intervals_.front().amounts) {
      amount& sum = sums_[of];
      sum.due -= got.due;
      sum.begun -= got.begun;
    }
    seen_ -= intervals_.front().length;
    intervals_.pop_front();
  }
}

std::optional<least_share> share_margin::Least() const {
  std::map<pool_id, double> best;
  for (const auto& [of, got] : sums_) {
    double& most = best[of.first];
    most = std::max(most, got.begun);
  }
  std::optional<least_share> least;
  for (const auto& [of, got] : sums_) {
    const double most = best[of.first];
    if (got.due <= kMinDuePart * most) {
      continue;
    }
    const double margin = got.begun / got.due;
    if (!least || margin < least->margin) {
      least = {.pool = of.first,
               .customer = of.second,
               .margin = margin,
               .due = got.due,
               .begun = got.begun,
               .best = most};
    }
  }
  return seen_ >= kWindow - kMaxInterval ? least : std::nullopt;
}

}  // namespace burdocklock::admission
