// The division of slots by slot_coordinator.
#include <algorithm>
#include <cmath>
#include <utility>

#include "allocation/slot_coordinator.h"
#include "allocation/slot_division.h"

namespace burdocklock::allocation {

namespace {

// Smallest deficit for which slots are taken from another router.
constexpr std::uint32_t kLeastMove = 2;

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
  for (const targets::announcement* target : directory_.OfPool(pool)) {
    const std::uint32_t limit =
        MayLease(*target, now)
            ? directory_.RampLimit(target->target).value_or(0)
            : 0;
    targets.push_back({.key = {target->target, target->life}, .limit = limit});
    capacity += limit;
  }
  const std::vector<customer_need> needs = NeedsOf(pool, state);
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
  CutOverfullTargets(targets);
  RevokeSurplus(targets, wanted);
  GrantDeficits(targets, wanted, now);
}

std::vector<customer_need> slot_coordinator::NeedsOf(
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
    // Routers elsewhere have targets of their own to keep spare slots at.
    if (state.described.data_centre != self_.data_centre) {
      continue;
    }
    const auto extra = static_cast<std::uint32_t>(
        std::ceil(std::max(1.0, wanted[router] * options_.headroom)));
    const std::uint32_t given = std::min(left, extra);
    wanted[router] += given;
    left -= given;
  }
}

void slot_coordinator::CutOverfullTargets(
    const std::vector<pool_target>& targets) {
  for (const pool_target& target : targets) {
    std::uint32_t left = target.limit;
    for (const auto& [router, lease] : leases_.LeasesOf(target.key)) {
      const std::uint32_t kept = std::min(left, lease.limit);
      left -= kept;
      SetLimit(router, target.key, kept);
    }
  }
}

void slot_coordinator::RevokeSurplus(
    const std::vector<pool_target>& targets,
    const std::map<daemon_id, std::uint32_t>& wanted) {
  std::uint32_t missing = 0;
  for (const auto& [router, count] : wanted) {
    const std::uint32_t held = HeldBy(router, targets);
    const std::uint32_t deficit = count > held ? count - held : 0;
    // Moving a busy slot leaves it idle for a round trip, so that a router
    // that has some is not helped for one more.
    missing += held == 0 || deficit >= kLeastMove ? deficit : 0;
  }
  std::uint32_t free = 0;
  for (const pool_target& target : targets) {
    free += FreeSlots(target);
  }
  std::uint32_t to_revoke = missing > free ? missing - free : 0;
  for (auto& [router, state] : routers_) {
    const auto want = wanted.find(router);
    const std::uint32_t keep = want == wanted.end() ? 0 : want->second;
    const std::uint32_t held = HeldBy(router, targets);
    std::uint32_t surplus = std::min(to_revoke, held > keep ? held - keep : 0);
    to_revoke -= surplus;
    // Idle slots first, as they come back at once.
    for (const bool idle_only : {true, false}) {
      for (const pool_target& target : targets) {
        const lease_book::lease lease = leases_.Get(router, target.key);
        const std::uint32_t available =
            idle_only ? lease.limit - std::min(lease.limit, lease.in_use)
                      : lease.limit;
        const std::uint32_t taken = std::min(surplus, available);
        surplus -= taken;
        if (taken > 0) {
          SetLimit(router, target.key, lease.limit - taken);
        }
      }
    }
  }
}

void slot_coordinator::GrantDeficits(
    const std::vector<pool_target>& targets,
    const std::map<daemon_id, std::uint32_t>& wanted,
    time_point now) {
  for (const auto& [router, count] : wanted) {
    const auto known = routers_.find(router);
    if (known == routers_.end() ||
        now - known->second.last_report >= options_.lease) {
      continue;
    }
    std::uint32_t held = HeldBy(router, targets);
    while (held < count) {
      const auto roomiest =
          std::max_element(targets.begin(), targets.end(),
                           [this](const pool_target& a, const pool_target& b) {
                             return FreeSlots(a) < FreeSlots(b);
                           });
      if (roomiest == targets.end() || FreeSlots(*roomiest) == 0) {
        return;
      }
      SetLimit(router, roomiest->key,
               leases_.Get(router, roomiest->key).limit + 1);
      ++held;
    }
  }
}

std::uint32_t slot_coordinator::HeldBy(
    const daemon_id& router,
    const std::vector<pool_target>& targets) const {
  std::uint32_t held = 0;
  for (const pool_target& target : targets) {
    held += leases_.Get(router, target.key).limit;
  }
  return held;
}

std::uint32_t slot_coordinator::FreeSlots(const pool_target& target) const {
  const std::uint32_t bound = leases_.Bound(target.key);
  return target.limit > bound ? target.limit - bound : 0;
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
