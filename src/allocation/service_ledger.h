// Service that customers of one pool have received over all routers.
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
/// incarnation sets the baseline from which its service counts, so that what
/// happened on the other side of a partition is not held against anyone.
///
/// Invariant: virtual service never decreases; a customer that becomes
/// backlogged has at least the least virtual service of the backlogged ones.
class service_ledger {
 public:
  /// Takes one router's view of one customer. Repeated and older figures
  /// change nothing. Returns the service that was new.
  double Update(const daemon_id& router,
                incarnation life,
                const customer_demand& demand);
  /// Sets which customers have waiting requests at a router; those not named
  /// have none.
  void SetBacklog(const daemon_id& router,
                  const std::vector<customer_demand>& customers);
  /// Forgets a router's demand, and its baseline.
  void ForgetRouter(const daemon_id& router);

  [[nodiscard]] double VirtualService(const customer_id& customer) const;
  /// Smoothed service of one request, for dividing slots.
  [[nodiscard]] double quantum() const { return quantum_; }
  /// Requests that ended well, and the service that was new meanwhile.
  void NoteRequests(double service, std::uint32_t requests);

 private:
  struct baseline {
    incarnation life;
    double counted = 0;
  };
  struct account {
    double share = 1.0;
    double virtual_service = 0;
    std::map<daemon_id, baseline> routers;
    /// Routers at which it has waiting requests.
    std::map<daemon_id, std::uint32_t> backlog;
  };

  void LiftIfNewlyBacklogged(account& account);
  [[nodiscard]] std::pair<bool, double> LeastBacklogged() const;

  std::map<customer_id, account> accounts_;
  double quantum_ = 1.0;
};

}  // namespace burdocklock::allocation
