// Slot allocation of slot_coordinator.
#include <algorithm>
#include <cmath>
#include <queue>
#include <utility>

#include "allocation/slot_coordinator.h"
#include "allocation/slot_division.h"

namespace burdocklock::allocation {

namespace {

// Smallest deficit of a router for which slots are revoked from another one; a
// router that has none gets a single slot too.
constexpr std::uint32_t kMinTransferDeficit = 2;
// An allocation step takes at most 1/kGrantDivisor of a target's limit.
constexpr std::uint32_t kGrantDivisor = 4;

}  // namespace

void slot_coordinator::Allocate(time_point now) {
  ExpireRouters(now);
  if (directory_.next_deadline() <= now) {
    directory_.CollectSilent(now);
  }
  if (IsAdopting(now)) {
    return;
  }
  for (const pool_id& pool : directory_.Pools()) {
    AllocatePool(pool, pools_[pool], now);
  }
}

void slot_coordinator::AllocatePool(const pool_id& pool,
                                    pool_state& state,
                                    time_point now) {
  std::vector<pool_target> targets;
  std::uint32_t capacity = 0;
  for (const targets::announcement* target : directory_.TargetsInPool(pool)) {
    const std::uint32_t limit =
        MayLease(*target, now)
            ? directory_.RampLimit(target->target).value_or(0)
            : 0;
    const target_key key{target->target, target->life};
    targets.push_back({.key = key, .limit = limit});
    capacity += limit;
  }
  const std::vector<customer_need> needs = CollectNeeds(pool, state);
  std::map<daemon_id, std::uint32_t> wanted =
      DivideSlots(capacity, state.ledger.quantum(), needs);
  std::uint32_t demand = 0;
  for (const customer_need& need : needs) {
    for (const auto& [router, count] : need.demand) {
      demand += count;
    }
  }
  const bool scarce = demand > capacity;
  if (scarce != state.scarce || capacity != state.capacity) {
    state.scarce = scarce;
    state.capacity = capacity;
    for (auto& [router, known] : routers_) {
      known.dirty = true;
    }
  }
  if (!scarce) {
    AddHeadroom(wanted, capacity);
  }
  EnforceTargetLimits(targets);
  std::map<daemon_id, std::uint32_t> held = CountHeld(targets);
  RevokeSurplus(targets, wanted, held);
  GrantDeficits(targets, wanted, held, now);
}

std::vector<customer_need> slot_coordinator::CollectNeeds(
    const pool_id& pool,
    const pool_state& state) const {
  std::map<customer_id, customer_need> needs;
  for (const auto& [router, known] : routers_) {
    const auto demand = known.demand.find(pool);
    if (demand == known.demand.end()) {
      continue;
    }
    for (const customer_demand& customer : demand->second) {
      const std::uint32_t count = customer.waiting + customer.running;
      if (count == 0) {
        continue;
      }
      customer_need& need = needs[customer.customer];
      need.customer = customer.customer;
      need.share = customer.share;
      need.virtual_service = state.ledger.VirtualService(customer.customer);
      need.demand[router] = count;
    }
  }
  std::vector<customer_need> list;
  list.reserve(needs.size());
  for (auto& [customer, need] : needs) {
    list.push_back(std::move(need));
  }
  return list;
}

void slot_coordinator::AddHeadroom(std::map<daemon_id, std::uint32_t>& wanted,
                                   std::uint32_t capacity) const {
  std::uint32_t left = capacity;
  for (const auto& [router, count] : wanted) {
    left -= std::min(left, count);
  }
  for (const auto& [router, state] : routers_) {
    // Routers in other data centres keep spare slots at their own targets.
    if (state.info.data_centre != self_.data_centre) {
      continue;
    }
    const auto extra = static_cast<std::uint32_t>(
        std::ceil(std::max(1.0, wanted[router] * options_.headroom)));
    const std::uint32_t given = std::min(left, extra);
    wanted[router] += given;
    left -= given;
  }
}

void slot_coordinator::EnforceTargetLimits(std::vector<pool_target>& targets) {
  for (pool_target& target : targets) {
    std::uint32_t left = target.limit;
    std::uint32_t bound = 0;
    std::vector<std::pair<daemon_id, std::uint32_t>> cuts;
    for (const auto& [router, lease] : leases_.LeasesOf(target.key)) {
      bound += lease.bound;
      const std::uint32_t kept = std::min(left, lease.limit);
      left -= kept;
      if (kept < lease.limit) {
        cuts.emplace_back(router, kept);
      }
    }
    for (const auto& [router, kept] : cuts) {
      SetLimit(router, target.key, kept);
    }
    target.free = target.limit > bound ? target.limit - bound : 0;
  }
}

std::map<daemon_id, std::uint32_t> slot_coordinator::CountHeld(
    const std::vector<pool_target>& targets) const {
  std::map<daemon_id, std::uint32_t> held;
  for (const pool_target& target : targets) {
    for (const auto& [router, lease] : leases_.LeasesOf(target.key)) {
      held[router] += lease.limit;
    }
  }
  return held;
}

void slot_coordinator::RevokeSurplus(
    const std::vector<pool_target>& targets,
    const std::map<daemon_id, std::uint32_t>& wanted,
    const std::map<daemon_id, std::uint32_t>& held) {
  const auto count_of = [](const auto& counts, const daemon_id& router) {
    const auto found = counts.find(router);
    return found == counts.end() ? 0U : found->second;
  };
  std::uint32_t shortfall = 0;
  for (const auto& [router, count] : wanted) {
    const std::uint32_t current = count_of(held, router);
    const std::uint32_t deficit = count > current ? count - current : 0;
    // Moving a slot in use leaves it idle for a round trip. It isn't worth that
    // to move one to a router that has some and lacks only one.
    shortfall += current == 0 || deficit >= kMinTransferDeficit ? deficit : 0;
  }
  std::uint32_t free = 0;
  for (const pool_target& target : targets) {
    free += target.free;
  }
  std::uint32_t to_revoke = shortfall > free ? shortfall - free : 0;
  for (const auto& [router, current] : held) {
    const std::uint32_t keep = count_of(wanted, router);
    const std::uint32_t surplus =
        std::min(to_revoke, current > keep ? current - keep : 0);
    to_revoke -= surplus;
    if (surplus > 0) {
      RevokeSlots(router, surplus, targets);
    }
  }
}

void slot_coordinator::RevokeSlots(const daemon_id& router,
                                   std::uint32_t count,
                                   const std::vector<pool_target>& targets) {
  // Idle slots first, as they can be reassigned without waiting for a request.
  for (const bool idle_only : {true, false}) {
    for (const pool_target& target : targets) {
      if (count == 0) {
        return;
      }
      const lease_table::lease lease = leases_.Get(router, target.key);
      const std::uint32_t available =
          idle_only ? lease.limit - std::min(lease.limit, lease.in_use)
                    : lease.limit;
      const std::uint32_t taken = std::min(count, available);
      count -= taken;
      if (taken > 0) {
        SetLimit(router, target.key, lease.limit - taken);
      }
    }
  }
}

void slot_coordinator::GrantDeficits(
    const std::vector<pool_target>& targets,
    const std::map<daemon_id, std::uint32_t>& wanted,
    const std::map<daemon_id, std::uint32_t>& held,
    time_point now) {
  // Targets with the most free slots first.
  std::priority_queue<std::pair<std::uint32_t, std::size_t>> most_free;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (targets[i].free > 0) {
      most_free.emplace(targets[i].free, i);
    }
  }
  for (const auto& [router, count] : wanted) {
    const auto known = routers_.find(router);
    if (known == routers_.end() ||
        now - known->second.last_report >= options_.lease) {
      continue;
    }
    const auto found = held.find(router);
    const std::uint32_t current = found == held.end() ? 0 : found->second;
    std::uint32_t deficit = count > current ? count - current : 0;
    while (deficit > 0 && !most_free.empty()) {
      const auto [free, index] = most_free.top();
      most_free.pop();
      const pool_target& target = targets[index];
      // Grants several slots of a target at a time, so that a router's leases
      // spread over few targets.
      const std::uint32_t granted =
          std::min({deficit, free, std::max(1U, target.limit / kGrantDivisor)});
      SetLimit(router, target.key,
               leases_.Get(router, target.key).limit + granted);
      deficit -= granted;
      if (free > granted) {
        most_free.emplace(free - granted, index);
      }
    }
  }
}

void slot_coordinator::SetLimit(const daemon_id& router,
                                const target_key& target,
                                std::uint32_t limit) {
  if (leases_.Get(router, target).limit == limit) {
    return;
  }
  leases_.SetLimit(router, target, limit);
  const auto known = routers_.find(router);
  if (known != routers_.end()) {
    known->second.dirty = true;
  }
}

}  // namespace burdocklock::allocation
