// Service that the customers of one pool have received through all routers.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "allocation/types/grant.h"
#include "allocation/types/report.h"
#include "framework/types/ids.h"

namespace burdocklock::allocation {

/// Merges the routers' cumulative counters. The first report of a router's
/// incarnation sets the baseline for its counters, so that service received on
/// the other side of a partition is not charged to any customer.
///
/// Invariant: virtual service never decreases. When a customer becomes
/// backlogged, its virtual service is raised to at least the minimum among the
/// backlogged customers.
class service_ledger {
 public:
  /// Applies one router's counter for one customer. Repeated or older values
  /// have no effect. Returns the increase in service.
  double Update(const daemon_id& router,
                incarnation life,
                const customer_demand& demand);
  /// Sets the customers that have waiting requests at a router; customers not
  /// listed have none.
  void SetBacklog(const daemon_id& router,
                  const std::vector<customer_demand>& customers);
  /// Removes a router's backlog and baselines.
  void RemoveRouter(const daemon_id& router);

  [[nodiscard]] double VirtualService(const customer_id& customer) const;
  /// Smoothed average service of one request, used to divide slots.
  [[nodiscard]] double quantum() const { return quantum_; }
  /// Updates the quantum from successful requests and the service added in the
  /// same period.
  void RecordRequests(double service, std::uint32_t requests);

 private:
  struct baseline {
    incarnation life;
    double counted = 0;
  };
  struct account {
    double share = 1.0;
    double virtual_service = 0;
    std::map<daemon_id, baseline> routers;
    /// Waiting requests by router; nonzero entries only.
    std::map<daemon_id, std::uint32_t> backlog;
  };

  void RaiseToBackloggedMin(account& account);
  [[nodiscard]] std::pair<bool, double> MinBackloggedService() const;

  std::map<customer_id, account> accounts_;
  double quantum_ = 1.0;
};

}  // namespace burdocklock::allocation
