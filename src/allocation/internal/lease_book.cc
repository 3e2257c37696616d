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
  for (auto& [key, routers] : targets_) {
    if (!named.contains(key)) {
      routers.erase(router);
    }
  }
}

void lease_book::SetLimit(const daemon_id& router,
                          const target_key& target,
                          std::uint32_t limit) {
  lease& lease = targets_[target][router];
  lease.limit = limit;
  lease.bound = std::max(lease.bound, limit);
}

void lease_book::Drop(const daemon_id& router) {
  for (auto& [key, routers] : targets_) {
    routers.erase(router);
  }
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
  for (const auto& [key, routers] : targets_) {
    const auto found = routers.find(router);
    if (found != routers.end() &&
        (found->second.limit > 0 || found->second.bound > 0)) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<std::pair<daemon_id, lease_book::lease>> lease_book::LeasesOf(
    const target_key& target) const {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {
    return {};
  }
  return {found->second.begin(), found->second.end()};
}

}  // namespace burdocklock::allocation
