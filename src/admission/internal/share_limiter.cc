// Limits each customer to its max-min fair share of an overloaded pool. The
// share covers the demand on all routers; each router enforces its part of it
// with a token bucket.
#include "admission/share_limiter.h"

#include <algorithm>

namespace burdocklock::admission {

namespace {

// Bucket depth, and the most that work sent to spare capacity may lower it
// below zero, as time at the refill rate. It tolerates short bursts.
constexpr double kBucketSeconds = 1.0;
// The most that work admitted before may lower the bucket below zero, likewise.
constexpr double kAdvanceSeconds = 2.0;
// A pool that is not backlogged is overloaded if demand exceeds the started
// work, or the known capacity if larger, by this factor.
constexpr double kOverloadFactor = 1.15;
// The pool is backlogged if more waits within shares than is started in this
// time.
constexpr double kBackloggedSeconds = 0.05;
// Fraction of the known capacity that is assumed even if less was started, as
// after an interruption.
constexpr double kMinCapacity = 0.25;
// What a router's part of the targets follows, beside the demand within shares.
constexpr double kWaitingWeight = 0.5;
constexpr double kLackWeight = 0.25;
// Customers that lack less than this fraction of what is due are served as
// their demand comes.
constexpr double kMinLack = 0.05;
// Interval at which the share is recomputed while requests arrive.
constexpr std::chrono::milliseconds kUpdatePeriod{100};
// Flows of this router whose demand and started work are both below this many
// tokens per second are not reported to other routers.
constexpr double kMinReportedRate = 1.0;

}  // namespace

void share_limiter::OnArrival(const customer_id& customer,
                              double tokens,
                              time_point now) {
  StateOf(customer).demand.Add(tokens, now);
  if (now - updated_at_ >= kUpdatePeriod) {
    UpdateShare(now);
  }
}

void share_limiter::OnSent(const customer_id& customer,
                           double tokens,
                           time_point now) {
  customer_state& state = StateOf(customer);
  state.started.Add(tokens, now);
  Refill(state, now);
  const double max_debt = RefillRate(state, now) * kBucketSeconds;
  state.bucket_tokens = state.bucket_tokens < 0
                            ? std::max(state.bucket_tokens - tokens,
                                       std::min(state.bucket_tokens, -max_debt))
                            : state.bucket_tokens - tokens;
}

void share_limiter::OnSentAgain(const customer_id& customer,
                                double tokens,
                                time_point now) {
  customer_state& state = StateOf(customer);
  state.started.Add(tokens, now);
  Refill(state, now);
  state.bucket_tokens -= tokens;
}

void share_limiter::OnNotExecuted(const customer_id& customer,
                                  double tokens,
                                  time_point now) {
  customer_state& state = StateOf(customer);
  state.started.Add(-tokens, now);
  Refill(state, now);
  state.bucket_tokens += tokens;
}

void share_limiter::SetRemoteFlows(const std::vector<customer_flow>& others,
                                   time_point now) {
  for (auto& [customer, state] : customers_) {
    state.remote_demand = 0;
    state.remote_started = 0;
  }
  flow_.waiting_elsewhere = 0;
  for (const customer_flow& flow : others) {
    if (flow.pool == pool_) {
      flow_.waiting_elsewhere += flow.waiting;
      customer_state& state = StateOf(flow.customer);
      state.remote_demand = flow.demand;
      state.remote_started = flow.started;
    }
  }
  UpdateShare(now);
}

void share_limiter::UpdateShare(time_point now) {
  updated_at_ = now;
  std::vector<double> demands;
  flow_.demand = 0;
  flow_.started = 0;
  for (auto& [customer, state] : customers_) {
    Refill(state, now);
    demands.push_back(state.demand.Rate(now) + state.remote_demand);
    flow_.demand += demands.back();
    flow_.started += state.started.Rate(now) + state.remote_started;
  }
  flow_.capacity = Capacity();
  const double factor = IsBacklogged() ? 1 : kOverloadFactor;
  share_ = flow_.demand > factor * flow_.capacity
               ? MaxMinShare(std::move(demands), flow_.capacity)
               : kNoLimit;
}

bool share_limiter::IsBacklogged() const {
  return flow_.waiting_here + flow_.waiting_elsewhere >
         flow_.started * kBackloggedSeconds;
}

double share_limiter::Capacity() const {
  if (options_.basis == capacity_basis::kKnown) {
    return known_capacity_;
  }
  // While work waits, the targets start all that they can, whatever is known of
  // them.
  const double at_least =
      IsBacklogged() ? known_capacity_ * kMinCapacity : known_capacity_;
  return std::max(flow_.started, at_least);
}

double share_limiter::RefillRate(const customer_state& state,
                                 time_point now) const {
  if (share_ == kNoLimit) {
    return kNoLimit;
  }
  const double local_demand = state.demand.Rate(now);
  const double total_demand = local_demand + state.remote_demand;
  return total_demand > 0 ? share_ * local_demand / total_demand : share_;
}

void share_limiter::Refill(customer_state& state, time_point now) {
  const double refill_rate = RefillRate(state, now);
  if (refill_rate == kNoLimit) {
    state.bucket_tokens = 0;
    state.refilled_at = now;
    return;
  }
  const double elapsed_seconds = state.refilled_at == time_point{}
                                     ? 0
                                     : ToSeconds(now - state.refilled_at);
  state.refilled_at = now;
  state.bucket_tokens =
      std::min(state.bucket_tokens + refill_rate * elapsed_seconds,
               refill_rate * kBucketSeconds);
}

bool share_limiter::IsOverShare(const customer_id& customer, time_point now) {
  if (share_ == kNoLimit) {
    return false;
  }
  customer_state& state = StateOf(customer);
  Refill(state, now);
  return state.bucket_tokens < 0;
}

bool share_limiter::IsOverAdvance(const customer_id& customer, time_point now) {
  if (share_ == kNoLimit) {
    return false;
  }
  customer_state& state = StateOf(customer);
  Refill(state, now);
  return state.bucket_tokens < -RefillRate(state, now) * kAdvanceSeconds;
}

double share_limiter::LocalFraction(time_point now) const {
  double local_due = 0;
  double total_due = 0;
  double local_lack = 0;
  double total_lack = 0;
  for (const auto& [customer, state] : customers_) {
    const double local_demand = state.demand.Rate(now);
    const double total_demand = local_demand + state.remote_demand;
    if (total_demand <= 0) {
      continue;
    }
    const double local_part = local_demand / total_demand;
    const double due =
        share_ > 0 ? std::min(total_demand, share_) : total_demand;
    const double started = state.started.Rate(now) + state.remote_started;
    const double lack = std::max(due - started, 0.0);
    total_due += due;
    local_due += due * local_part;
    total_lack += lack;
    local_lack += lack * local_part;
  }
  if (total_due <= 0) {
    return 1;
  }
  const double of_due = local_due / total_due;
  const double of_lack =
      total_lack > kMinLack * total_due ? local_lack / total_lack : of_due;
  const double waiting = flow_.waiting_here + flow_.waiting_elsewhere;
  const double of_waiting = waiting > 0 ? flow_.waiting_here / waiting : of_due;
  return kWaitingWeight * of_waiting + kLackWeight * of_lack +
         (1 - kWaitingWeight - kLackWeight) * of_due;
}

std::vector<customer_flow> share_limiter::LocalFlows(time_point now) const {
  std::vector<customer_flow> flows;
  for (const auto& [customer, state] : customers_) {
    const customer_flow flow{.pool = pool_,
                             .customer = customer,
                             .demand = state.demand.Rate(now),
                             .started = state.started.Rate(now)};
    if (flow.demand >= kMinReportedRate || flow.started >= kMinReportedRate) {
      flows.push_back(flow);
    }
  }
  return flows;
}

}  // namespace burdocklock::admission
