// See the header.
#include "allocation/lease_book.h"

#include <algorithm>
#include <set>

namespace burdocklock::allocation {

void lease_book::Apply(const daemon_id& router,
                       const std::vector<slot_holding>& holdings,
                       bool confirmed,
                       bool adopt) {
  std::set<target_key> named;
  for (const slot_holding& holding : holdings) {
    const target_key key{holding.target, holding.life};
    named.insert(key);
    of_router_[router].insert(key);
    lease& lease = targets_[key][router];
    lease.in_use = holding.in_use;
    if (adopt && lease.limit == 0) {
      lease.limit = holding.limit;
    }
    if (confirmed) {
      // The router may have lowered its limit by itself.
      lease.limit = std::min(lease.limit, holding.limit);
      lease.bound = std::max(lease.limit, holding.in_use);
    } else {
      lease.bound = std::max({lease.bound, lease.limit, holding.in_use});
    }
  }
  if (!confirmed) {
    return;
  }
  for (const target_key& key : of_router_[router]) {
    if (!named.contains(key)) {
      targets_[key].erase(router);
    }
  }
  of_router_[router] = std::move(named);
}

void lease_book::SetLimit(const daemon_id& router,
                          const target_key& target,
                          std::uint32_t limit) {
  of_router_[router].insert(target);
  lease& lease = targets_[target][router];
  lease.limit = limit;
  lease.bound = std::max(lease.bound, limit);
}

void lease_book::Drop(const daemon_id& router) {
  for (const target_key& key : of_router_[router]) {
    targets_[key].erase(router);
  }
  of_router_.erase(router);
}

void lease_book::DropTarget(const target_key& target) {
  targets_.erase(target);
}

std::uint32_t lease_book::Bound(const target_key& target) const {
  std::uint32_t sum = 0;
  for (const auto& [router, lease] : LeasesOf(target)) {
    sum += lease.bound;
  }
  return sum;
}

std::uint32_t lease_book::InUse(const target_key& target) const {
  std::uint32_t sum = 0;
  for (const auto& [router, lease] : LeasesOf(target)) {
    sum += lease.in_use;
  }
  return sum;
}

lease_book::lease lease_book::Get(const daemon_id& router,
                                  const target_key& target) const {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return {};
  }
  const auto lease = found->second.find(router);
  return lease == found->second.end() ? lease_book::lease{} : lease->second;
}

std::vector<target_key> lease_book::TargetsOf(const daemon_id& router) const {
  std::vector<target_key> keys;
  const auto held = of_router_.find(router);
  if (held == of_router_.end()) {
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

const lease_book::by_router& lease_book::LeasesOf(
    const target_key& target) const {
  static const by_router none;
  const auto found = targets_.find(target);
  return found == targets_.end() ? none : found->second;
}

}  // namespace burdocklock::allocation
