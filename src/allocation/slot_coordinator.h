// Coordinator of the targets of a data centre: tracks their ramp limits, leases
// their slots to routers, and merges the routers' service counters.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "allocation/lease_table.h"
#include "allocation/service_ledger.h"
#include "allocation/slot_division.h"
#include "allocation/types/grant.h"
#include "allocation/types/report.h"
#include "framework/i_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "membership/types/member.h"
#include "targets/target_directory.h"

namespace burdocklock::allocation {

struct coordinator_options {
  /// Lease duration, counted from the time at which the router sent the report
  /// that the grant answers.
  duration lease = std::chrono::seconds(3);
  /// Additional time before the coordinator grants the slots of an expired
  /// lease to another router.
  duration lease_margin = std::chrono::milliseconds(500);
  /// Spare slots granted to a router, as a fraction of its demand.
  double headroom = 0.25;
  targets::directory_options directory;
};

/// Deterministic state machine. After it starts or takes over, a coordinator
/// adopts the leases that routers report, and grants nothing else until every
/// expected router has reported or all earlier leases have expired.
///
/// Invariants: the slots that routers may be using at a target never exceed its
/// ramp limit, except after that limit was lowered; then nothing is granted
/// until usage is back within the limit. Nothing is granted at targets that are
/// not ready, that have stopped announcing themselves, or whose data centre is
/// out of service.
class slot_coordinator {
 public:
  slot_coordinator(membership::member self,
                   coordinator_options options,
                   i_random& random);

  /// Starts coordinating with empty state. Up to `expected_routers` routers may
  /// hold leases from an earlier coordinator.
  void Start(std::size_t expected_routers, time_point now);
  void OnReport(const router_report& report, time_point now);
  targets::announce_result OnAnnouncement(
      const targets::announcement& announcement,
      time_point now);
  /// Sets the data centres whose targets this coordinator leases. Targets of
  /// another data centre are leased only after every lease of that data
  /// centre's own coordinator must have expired.
  void SetServed(const std::vector<data_centre_id>& data_centres,
                 time_point now);
  void SetDataCentreOut(const data_centre_id& data_centre,
                        bool out,
                        time_point now);
  /// Removes a router that has left or whose process is known to have ended.
  void RemoveRouter(const daemon_id& router);
  /// Expires leases and recomputes the allocation of slots.
  void Allocate(time_point now);

  /// Returns the grants that have changed since the last call or that answer a
  /// report.
  std::vector<std::pair<daemon_id, grant_table>> TakeGrants();

  [[nodiscard]] const targets::target_directory& directory() const {
    return directory_;
  }
  [[nodiscard]] const lease_table& leases() const { return leases_; }
  [[nodiscard]] bool IsAdopting(time_point now) const;
  /// Service and demand of a customer in a pool, for operators.
  struct customer_view {
    pool_id pool;
    customer_id customer;
    double share = 1.0;
    double virtual_service = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
  };
  [[nodiscard]] std::vector<customer_view> Customers() const;

 private:
  struct router_state {
    membership::member info;
    std::uint64_t last_sequence = 0;
    std::uint64_t grant_version = 0;
    time_point last_report{};
    bool dirty = false;
    std::map<pool_id, std::vector<customer_demand>> demand;
  };
  struct pool_state {
    service_ledger ledger;
    std::uint32_t capacity = 0;
    bool scarce = false;
  };
  struct pool_target {
    target_key key;
    std::uint32_t limit = 0;
    /// Slots within the limit that no router may be using.
    std::uint32_t free = 0;
  };

  [[nodiscard]] bool MayLease(const targets::announcement& target,
                              time_point now) const;
  /// True if no other coordinator's leases on a target of another data centre
  /// can still be in force.
  [[nodiscard]] bool MayAdopt(const targets::announcement& target,
                              time_point served_since,
                              time_point now) const;
  bool AcceptSender(const router_report& report, time_point now);
  void ApplyDemand(const router_report& report, router_state& router);
  std::uint32_t CountSuccesses(const router_report& report,
                               const pool_id& pool) const;
  void ApplyEvidence(const router_report& report, time_point now);
  void AdoptRamp(const router_report& report);
  void ExpireRouters(time_point now);
  void AllocatePool(const pool_id& pool, pool_state& state, time_point now);
  std::vector<customer_need> CollectNeeds(const pool_id& pool,
                                          const pool_state& state) const;
  void AddHeadroom(std::map<daemon_id, std::uint32_t>& wanted,
                   std::uint32_t capacity) const;
  /// Reduces leases to the targets' limits and counts the free slots.
  void EnforceTargetLimits(std::vector<pool_target>& targets);
  [[nodiscard]] std::map<daemon_id, std::uint32_t> CountHeld(
      const std::vector<pool_target>& targets) const;
  void RevokeSurplus(const std::vector<pool_target>& targets,
                     const std::map<daemon_id, std::uint32_t>& wanted,
                     const std::map<daemon_id, std::uint32_t>& held);
  void RevokeSlots(const daemon_id& router,
                   std::uint32_t count,
                   const std::vector<pool_target>& targets);
  void GrantDeficits(const std::vector<pool_target>& targets,
                     const std::map<daemon_id, std::uint32_t>& wanted,
                     const std::map<daemon_id, std::uint32_t>& held,
                     time_point now);
  void SetLimit(const daemon_id& router,
                const target_key& target,
                std::uint32_t limit);
  grant_table MakeGrant(const daemon_id& router, router_state& state) const;

  membership::member self_;
  coordinator_options options_;
  targets::target_directory directory_;
  lease_table leases_;
  std::map<daemon_id, router_state> routers_;
  std::map<pool_id, pool_state> pools_;
  /// Versions increase across all routers and are never reused, so that a
  /// router that was removed and returns cannot confirm a grant it has not
  /// received.
  std::uint64_t last_grant_version_ = 0;
  /// Served data centres, with the time since which each is served.
  std::map<data_centre_id, time_point> served_;
  time_point adopting_until_{};
  std::size_t expected_routers_ = 0;
  std::set<daemon_id> reported_since_start_;
};

}  // namespace burdocklock::allocation
