// Updates the slot leases from router reports and granted limits, and sums them
// by target.
#include "allocation/lease_table.h"

#include <algorithm>
#include <set>

namespace burdocklock::allocation {

void lease_table::Apply(const daemon_id& router,
                        const std::vector<slot_holding>& holdings,
                        bool confirmed,
                        bool adopt) {
  std::set<target_key> reported;
  for (const slot_holding& holding : holdings) {
    const target_key key{holding.target, holding.life};
    reported.insert(key);
    targets_by_router_[router].insert(key);
    lease& lease = targets_[key][router];
    lease.in_use = holding.in_use;
    if (adopt && lease.limit == 0) {
      lease.limit = holding.limit;
    }
    if (confirmed) {
      // The router may have lowered its limit on its own.
      lease.limit = std::min(lease.limit, holding.limit);
      lease.bound = std::max(lease.limit, holding.in_use);
    } else {
      lease.bound = std::max({lease.bound, lease.limit, holding.in_use});
    }
  }
  if (!confirmed) {
    return;
  }
  for (const target_key& key : targets_by_router_[router]) {
    if (!reported.contains(key)) {
      targets_[key].erase(router);
    }
  }
  targets_by_router_[router] = std::move(reported);
}

void lease_table::SetLimit(const daemon_id& router,
                           const target_key& target,
                           std::uint32_t limit) {
  targets_by_router_[router].insert(target);
  lease& lease = targets_[target][router];
  lease.limit = limit;
  lease.bound = std::max(lease.bound, limit);
}

void lease_table::RemoveRouter(const daemon_id& router) {
  for (const target_key& key : targets_by_router_[router]) {
    targets_[key].erase(router);
  }
  targets_by_router_.erase(router);
}

void lease_table::RemoveTarget(const target_key& target) {
  targets_.erase(target);
}

std::uint32_t lease_table::Bound(const target_key& target) const {
  std::uint32_t sum = 0;
  for (const auto& [router, lease] : LeasesOf(target)) {
    sum += lease.bound;
  }
  return sum;
}

std::uint32_t lease_table::InUse(const target_key& target) const {
  std::uint32_t sum = 0;
  for (const auto& [router, lease] : LeasesOf(target)) {
    sum += lease.in_use;
  }
  return sum;
}

lease_table::lease lease_table::Get(const daemon_id& router,
                                    const target_key& target) const {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return {};
  }
  const auto lease = found->second.find(router);
  return lease == found->second.end() ? lease_table::lease{} : lease->second;
}

std::vector<target_key> lease_table::TargetsOf(const daemon_id& router) const {
  std::vector<target_key> keys;
  const auto held = targets_by_router_.find(router);
  if (held == targets_by_router_.end()) {
    return keys;
  }
  for (const target_key& key : held->second) {
    const lease lease = Get(router, key);
    if (lease.limit > 0 || lease.bound > 0) {
      keys.push_back(key);
    }
  }
  return keys;
}

const lease_table::leases_by_router& lease_table::LeasesOf(
    const target_key& target) const {
  static const leases_by_router none;
  const auto found = targets_.find(target);
  return found == targets_.end() ? none : found->second;
}

}  // namespace burdocklock::allocation
