// Aggregates load reports of routers.
#pragma once

#include <map>
#include <optional>
#include <utility>

#include "admission/types/fleet_load.h"
#include "control/learned_speeds.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::control {

/// The load of one target, summed over routers.
struct target_total {
  /// Its rate limit is that of the latest answer of any router.
  admission::target_load sum;
  /// The router with that answer, and the latest answer of another one.
  daemon_id latest_by;
  std::optional<admission::named_rate> latest_of_others;
};

/// Requests a second asked of one pool.
struct pool_total {
  admission::pool_demand sum;
  /// What is asked of the routers before each, in the order of their names.
  std::map<daemon_id, double> before;
};

struct load_totals {
  time_point now{};
  std::map<target_id, target_total> targets;
  std::map<std::pair<pool_id, customer_id>, admission::customer_flow> customers;
  learned_speeds::news learned;
  std::map<pool_id, pool_total> pools;
  /// Absent if a router reports none.
  std::optional<double> calls;
};

/// The cost of a round of summaries grows with the number of reported loads,
/// not with its product with the number of routers, but for writing them.
class load_collector {
 public:
  void OnReport(const daemon_id& router,
                admission::fleet_load load,
                time_point now);
  /// Sums the recent reports of all routers.
  [[nodiscard]] load_totals Totals(time_point now) const;
  /// Returns the totals without the part of one router.
  [[nodiscard]] admission::fleet_load LoadOfOthers(
      const load_totals& totals,
      const daemon_id& router) const;

 private:
  struct entry {
    admission::fleet_load load;
    time_point reported;
    /// Start of its current series of reports.
    time_point since;
  };

  /// Adds the demand of the others than the router to their load.
  static void AddPools(const load_totals& totals,
                       const daemon_id& router,
                       const admission::fleet_load* own,
                       admission::fleet_load& others);

  std::map<daemon_id, entry> routers_;
  learned_speeds learned_;
};

}  // namespace burdocklock::control
