// Divides a pool's slots among customers by virtual service, then splits each
// customer's slots over the routers by the largest remainder method.
#include "allocation/slot_division.h"

#include <algorithm>
#include <numeric>
#include <queue>
#include <utility>

namespace burdocklock::allocation {

namespace {

std::uint32_t TotalDemand(const customer_need& need) {
  return std::accumulate(
      need.demand.begin(), need.demand.end(), 0U,
      [](std::uint32_t sum, const auto& entry) { return sum + entry.second; });
}

// Returns the slots for each customer, in the order of `needs`.
std::vector<std::uint32_t> DivideAmongCustomers(
    std::uint32_t capacity,
    double quantum,
    const std::vector<customer_need>& needs) {
  using candidate = std::pair<double, std::size_t>;
  std::priority_queue<candidate, std::vector<candidate>, std::greater<>> next;
  std::vector<std::uint32_t> unmet(needs.size());
  std::vector<std::uint32_t> assigned(needs.size(), 0);
  for (std::size_t i = 0; i < needs.size(); ++i) {
    unmet[i] = TotalDemand(needs[i]);
    if (unmet[i] > 0) {
      next.emplace(needs[i].virtual_service, i);
    }
  }
  while (capacity > 0 && !next.empty()) {
    const auto [virtual_service, i] = next.top();
    next.pop();
    ++assigned[i];
    --unmet[i];
    --capacity;
    if (unmet[i] > 0) {
      next.emplace(virtual_service + quantum / needs[i].share, i);
    }
  }
  return assigned;
}

// Splits a customer's slots over its routers in proportion to demand, using the
// largest remainder method.
void SplitOverRouters(std::uint32_t slots,
                      const customer_need& need,
                      std::map<daemon_id, std::uint32_t>& wanted) {
  const std::uint64_t total = TotalDemand(need);
  if (total == 0) {
    return;
  }
  std::vector<std::pair<std::uint64_t, daemon_id>> remainders;
  std::uint32_t remaining = slots;
  for (const auto& [router, demand] : need.demand) {
    const std::uint64_t product = static_cast<std::uint64_t>(slots) * demand;
    const auto whole = static_cast<std::uint32_t>(product / total);
    wanted[router] += whole;
    remaining -= whole;
    if (whole < demand) {
      remainders.emplace_back(product % total, router);
    }
  }
  std::sort(remainders.begin(), remainders.end(), std::greater<>());
  for (std::size_t i = 0; i < remainders.size() && remaining > 0;
       ++i, --remaining) {
    ++wanted[remainders[i].second];
  }
}

}  // namespace

std::map<daemon_id, std::uint32_t> DivideSlots(
    std::uint32_t capacity,
    double quantum,
    const std::vector<customer_need>& needs) {
  const std::vector<std::uint32_t> assigned =
      DivideAmongCustomers(capacity, quantum, needs);
  std::map<daemon_id, std::uint32_t> wanted;
  for (std::size_t i = 0; i < needs.size(); ++i) {
    SplitOverRouters(assigned[i], needs[i], wanted);
  }
  return wanted;
}

}  // namespace burdocklock::allocation
