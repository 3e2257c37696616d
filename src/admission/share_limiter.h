// Which customers of a pool have had more than their share while others wait.
// Answers the load in which one customer asks for many times its usual and the
// pool cannot serve everybody.
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

/// While all routers together are asked for more than is begun, each customer
/// has a bucket that fills at its max-min share of what is begun, split over
/// routers by where the customer asks.
///
/// Invariant: a customer that asks for no more than its share never is over
/// it for longer than one bucket lasts.
class share_limiter {
 public:
  explicit share_limiter(const pool_id& pool) : pool_(pool) {}

  /// A request has arrived.
  void OnAsked(const customer_id& customer, double tokens, time_point now);
  /// A request has been sent to a target.
  void OnBegun(const customer_id& customer, double tokens, time_point now);
  /// A request that was sent has certainly not run.
  void OnReturned(const customer_id& customer, double tokens, time_point now);
  /// Flows of the other routers.
  void SetOthers(const std::vector<customer_flow>& others, time_point now);
  /// Tokens a second that the pool is known to bear; zero if not known.
  void SetKnownCapacity(double tokens_per_second) {
    known_capacity_ = tokens_per_second;
  }

  /// True if the customer has used up its share for now.
  [[nodiscard]] bool IsOver(const customer_id& customer, time_point now);
  /// Part of what all routers are asked that this one is asked, 0 to 1.
  [[nodiscard]] double OwnPart(time_point now) const;
  /// This router's flows, for the others.
  [[nodiscard]] std::vector<customer_flow> Flows(time_point now) const;
  /// A customer's share in tokens a second over all routers; kNoLimit while the
  /// pool serves everybody.
  [[nodiscard]] double share() const { return share_; }

 private:
  struct line {
    flow_meter asked;
    flow_meter begun;
    double others_asked = 0;
    double others_begun = 0;
    /// Tokens that may still be begun.
    double bucket = 0;
    time_point filled_at{};
  };

  void Refill(line& line, time_point now);
  void UpdateShare(time_point now);
  [[nodiscard]] double LimitOf(const line& line, time_point now) const;

  pool_id pool_;
  std::unordered_map<customer_id, line> lines_;
  double known_capacity_ = 0;
  double share_ = kNoLimit;
  time_point updated_at_{};
};

}  // namespace burdocklock::admission
