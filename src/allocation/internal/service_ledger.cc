// Accounts for the service that customers receive through all routers, and
// tracks which customers are backlogged.
#include "allocation/service_ledger.h"

#include <algorithm>
#include <limits>

namespace burdocklock::allocation {

namespace {

// Weight of the latest sample in the moving average of the service per request.
constexpr double kQuantumSmoothing = 0.05;

}  // namespace

double service_ledger::Update(const daemon_id& router,
                              incarnation life,
                              const customer_demand& demand) {
  account& account = accounts_[demand.customer];
  account.share = demand.share;
  const auto [known, inserted] = account.routers.emplace(
      router, baseline{.life = life, .counted = demand.service});
  baseline& baseline = known->second;
  if (baseline.life != life) {
    baseline = {.life = life, .counted = demand.service};
    return 0;
  }
  const double received = std::max(0.0, demand.service - baseline.counted);
  account.virtual_service += received / account.share;
  baseline.counted += received;
  return received;
}

void service_ledger::SetBacklog(const daemon_id& router,
                                const std::vector<customer_demand>& customers) {
  std::map<customer_id, std::uint32_t> waiting;
  for (const customer_demand& demand : customers) {
    if (demand.waiting > 0) {
      waiting[demand.customer] = demand.waiting;
    }
  }
  for (auto& [customer, account] : accounts_) {
    if (!waiting.contains(customer)) {
      account.backlog.erase(router);
    }
  }
  for (const auto& [customer, count] : waiting) {
    account& account = accounts_[customer];
    if (account.backlog.empty()) {
      RaiseToBackloggedMin(account);
    }
    account.backlog[router] = count;
  }
}

void service_ledger::RaiseToBackloggedMin(account& account) {
  const auto [any, min_service] = MinBackloggedService();
  if (any) {
    account.virtual_service = std::max(account.virtual_service, min_service);
  }
}

std::pair<bool, double> service_ledger::MinBackloggedService() const {
  bool any = false;
  double min_service = std::numeric_limits<double>::max();
  for (const auto& [customer, account] : accounts_) {
    if (!account.backlog.empty()) {
      any = true;
      min_service = std::min(min_service, account.virtual_service);
    }
  }
  return {any, min_service};
}

void service_ledger::RemoveRouter(const daemon_id& router) {
  for (auto& [customer, account] : accounts_) {
    account.routers.erase(router);
    account.backlog.erase(router);
  }
}

double service_ledger::VirtualService(const customer_id& customer) const {
  const auto found = accounts_.find(customer);
  return found == accounts_.end() ? 0 : found->second.virtual_service;
}

void service_ledger::RecordRequests(double service, std::uint32_t requests) {
  if (requests == 0 || service <= 0) {
    return;
  }
  const double mean = service / requests;
  quantum_ += kQuantumSmoothing * (mean - quantum_);
}

}  // namespace burdocklock::allocation
