// Who may use how many slots of which target.
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

/// A target in one of its lives.
using target_key = std::pair<target_id, incarnation>;

/// Invariant: for each router and target `bound` is at least what the router
/// may be using, given the limits sent to it and its last confirmed report;
/// slots are granted only while the sum of bounds stays within the target's
/// limit.
class lease_book {
 public:
  struct lease {
    /// Last limit sent.
    std::uint32_t limit = 0;
    /// The router may be using this many.
    std::uint32_t bound = 0;
    std::uint32_t in_use = 0;
  };

  /// Takes a router's own account. `confirmed` means that it has seen the
  /// last grant; only then may bounds shrink. `adopt` accepts claims that
  /// this book does not know.
  void Apply(const daemon_id& router,
             const std::vector<slot_holding>& holdings,
             bool confirmed,
             bool adopt);
  /// Sets the limit to be sent. A larger one counts at once.
  void SetLimit(const daemon_id& router,
                const target_key& target,
                std::uint32_t limit);
  /// All leases of a router have run out, or its process has ended.
  void Drop(const daemon_id& router);
  void DropTarget(const target_key& target);

  [[nodiscard]] std::uint32_t Bound(const target_key& target) const;
  [[nodiscard]] std::uint32_t InUse(const target_key& target) const;
  [[nodiscard]] lease Get(const daemon_id& router,
                          const target_key& target) const;
  /// Targets of which the router has a limit or slots in use.
  [[nodiscard]] std::vector<target_key> TargetsOf(
      const daemon_id& router) const;
  using by_router = std::map<daemon_id, lease>;
  [[nodiscard]] const by_router& LeasesOf(const target_key& target) const;

 private:
  std::map<target_key, by_router> targets_;
  /// The keys under which each router stands in `targets_`.
  std::map<daemon_id, std::set<target_key>> of_router_;
};

}  // namespace burdocklock::allocation
