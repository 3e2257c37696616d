// Slot leases by target and router.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "allocation/types/report.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::allocation {

/// One incarnation of a target.
using target_key = std::pair<target_id, incarnation>;

/// Invariant: for each router and target, `bound` is an upper bound on the
/// slots that the router may be using, given the limits sent to it and its last
/// confirmed report. Slots are granted only while the sum of bounds stays
/// within the target's limit.
class lease_table {
 public:
  struct lease {
    /// Last limit sent to the router.
    std::uint32_t limit = 0;
    /// Most slots that the router may be using.
    std::uint32_t bound = 0;
    std::uint32_t in_use = 0;
  };

  /// Applies the holdings that a router reports. `confirmed` means that the
  /// router has applied the last grant; bounds decrease only then. `adopt`
  /// accepts leases that this table does not contain.
  void Apply(const daemon_id& router,
             const std::vector<slot_holding>& holdings,
             bool confirmed,
             bool adopt);
  /// Sets the limit to be sent. An increase raises the bound immediately.
  void SetLimit(const daemon_id& router,
                const target_key& target,
                std::uint32_t limit);
  /// Removes a router whose leases have all expired or whose process has ended.
  void RemoveRouter(const daemon_id& router);
  void RemoveTarget(const target_key& target);

  [[nodiscard]] std::uint32_t Bound(const target_key& target) const;
  [[nodiscard]] std::uint32_t InUse(const target_key& target) const;
  [[nodiscard]] lease Get(const daemon_id& router,
                          const target_key& target) const;
  /// Targets at which the router has a nonzero limit or bound.
  [[nodiscard]] std::vector<target_key> TargetsOf(
      const daemon_id& router) const;
  using leases_by_router = std::map<daemon_id, lease>;
  [[nodiscard]] const leases_by_router& LeasesOf(
      const target_key& target) const;

 private:
  std::map<target_key, leases_by_router> targets_;
  /// Targets that have an entry in `targets_` for the router.
  std::map<daemon_id, std::set<target_key>> targets_by_router_;
};

}  // namespace burdocklock::allocation
