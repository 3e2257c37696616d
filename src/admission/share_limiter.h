// Identifies customers that exceed their fair share of an overloaded pool.
// Protects the other customers when one sends many times its usual load and the
// pool cannot serve all of it.
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "admission/fair_share.h"
#include "admission/flow_meter.h"
#include "admission/types/fleet_load.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::admission {

/// What the shares of customers are taken from.
enum class capacity_basis {
  /// The work that is started, or the known capacity if that is larger and
  /// nothing waits within its share.
  kStartedOrKnown,
  /// The known capacity alone.
  kKnown,
};

/// Token rates of a pool over all routers, in tokens per second.
struct pool_flow {
  double demand = 0;
  double started = 0;
  /// What the customers' shares are taken from.
  double capacity = 0;
  /// Tokens that wait within shares, at this router and at the others.
  double waiting_here = 0;
  double waiting_elsewhere = 0;
};

struct share_limiter_options {
  capacity_basis basis = capacity_basis::kStartedOrKnown;
  /// Over which demand and started work are averaged.
  duration averaging = std::chrono::seconds(2);
};

/// While the demand on all routers together exceeds the work that is started,
/// or requests wait, each customer has a token bucket that refills at its
/// max-min share of the started work. A customer's share is split over the
/// routers in proportion to its demand at each. A customer over its share may
/// still be sent to spare capacity, at the cost of at most one bucket depth of
/// its later share.
///
/// Invariant: a customer whose demand stays within its share is never reported
/// as over it for longer than one bucket depth.
class share_limiter {
 public:
  explicit share_limiter(const pool_id& pool,
                         const share_limiter_options& options = {})
      : pool_(pool), options_(options) {}

  /// Records an arriving request.
  void OnArrival(const customer_id& customer, double tokens, time_point now);
  /// Records a request that was sent to a target.
  void OnSent(const customer_id& customer, double tokens, time_point now);
  /// As above for work that the customer had been admitted with before. It is
  /// charged in full.
  void OnSentAgain(const customer_id& customer, double tokens, time_point now);
  /// Undoes `OnSent` for a request that certainly was not executed.
  void OnNotExecuted(const customer_id& customer,
                     double tokens,
                     time_point now);
  /// Sets the tokens of the requests that wait here within their shares.
  void SetWaiting(double tokens) { flow_.waiting_here = tokens; }
  /// Replaces the flows of the other routers.
  void SetRemoteFlows(const std::vector<customer_flow>& others, time_point now);
  /// Sets the known capacity of the pool, in tokens per second; zero if
  /// unknown.
  void SetKnownCapacity(double tokens_per_second) {
    known_capacity_ = tokens_per_second;
  }

  /// Returns whether the customer has used up its share for now.
  [[nodiscard]] bool IsOverShare(const customer_id& customer, time_point now);
  /// As above for work that the customer had been admitted with before, which
  /// may take an advance on the later share. New work waits until it is paid
  /// back, so that nothing is gained by asking for the same work again.
  [[nodiscard]] bool IsOverAdvance(const customer_id& customer, time_point now);
  /// Returns this router's part of the targets, 0 to 1, by what waits here, by
  /// the demand within shares that arrives here, and by what its customers lack
  /// of that. The parts of all routers add up to one.
  [[nodiscard]] double LocalFraction(time_point now) const;
  /// Returns this router's flows, to be reported to the other routers.
  [[nodiscard]] std::vector<customer_flow> LocalFlows(time_point now) const;
  /// A customer's share over all routers, in tokens per second; kNoLimit while
  /// the pool is not overloaded.
  [[nodiscard]] double share() const { return share_; }
  /// What the share was last taken from, over all routers.
  [[nodiscard]] const pool_flow& flow() const { return flow_; }

 private:
  struct customer_state {
    explicit customer_state(duration averaging)
        : demand(averaging), started(averaging) {}

    flow_meter demand;
    flow_meter started;
    double remote_demand = 0;
    double remote_started = 0;
    /// Tokens that may still be started; negative if over the share.
    double bucket_tokens = 0;
    time_point refilled_at{};
  };

  customer_state& StateOf(const customer_id& customer) {
    return customers_.try_emplace(customer, options_.averaging).first->second;
  }
  void Refill(customer_state& state, time_point now);
  void UpdateShare(time_point now);
  /// Whether more waits within shares than a moment's work.
  [[nodiscard]] bool IsBacklogged() const;
  [[nodiscard]] double Capacity() const;
  [[nodiscard]] double RefillRate(const customer_state& state,
                                  time_point now) const;

  pool_id pool_;
  share_limiter_options options_;
  std::unordered_map<customer_id, customer_state> customers_;
  double known_capacity_ = 0;
  double share_ = kNoLimit;
  pool_flow flow_;
  time_point updated_at_{};
};

}  // namespace burdocklock::admission
