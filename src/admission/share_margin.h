// How close customers are to getting far less than their share, over all
// routers: one figure that tells before anybody complains.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "admission/types/fleet_load.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::admission {

/// The customer that got least of what it could expect, over the last window.
struct least_share {
  pool_id pool;
  customer_id customer;
  /// Begun over due; 1 and more if it got what it asked, or as much as anybody.
  double margin = 0;
  /// Tokens: what it asked, or what the best served customer began if that is
  /// less, moment by moment; what it began; and what the best served one began.
  double due = 0;
  double begun = 0;
  double best = 0;
};

/// Fed with the sums of all routers' reports, each of which lasts until the
/// next. The cost of one grows with the number of customers reported.
class share_margin {
 public:
  /// The summed flows as they are from `now` on.
  void OnTotals(std::vector<customer_flow> totals, time_point now);
  /// Absent until a whole window has been seen. Customers to whom little was
  /// due are left out: one large prompt would decide.
  [[nodiscard]] std::optional<least_share> Least() const;

 private:
  using key = std::pair<pool_id, customer_id>;
  struct amount {
    double due = 0;
    double begun = 0;
  };
  struct interval {
    time_point ended;
    duration length;
    std::map<key, amount> amounts;
  };

  void AddInterval(time_point now);
  void DropOld(time_point now);

  std::vector<customer_flow> current_;
  time_point since_{};
  /// Of the window, the oldest first.
  std::deque<interval> intervals_;
  /// Sums over `intervals_`.
  std::map<key, amount> sums_;
  duration seen_{};
};

}  // namespace burdocklock::admission
