// Per-daemon fleet logic: membership, coordination of its data centre's targets
// while it is the coordinator, and the leases of its own router.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "allocation/slot_client.h"
#include "allocation/slot_coordinator.h"
#include "fleet/i_fleet_port.h"
#include "fleet/types/message.h"
#include "framework/i_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "membership/data_centre_orders.h"
#include "membership/member_table.h"
#include "routing/request_router.h"

namespace burdocklock::fleet {

struct fleet_options {
  membership::member self;
  /// Number of outbound links; the owner opens them and numbers them from 1.
  std::size_t peer_count = 0;
  duration heartbeat_interval = std::chrono::seconds(1);
  /// Time without messages after which a link is reopened or a member counts as
  /// dead.
  duration peer_timeout = std::chrono::seconds(3);
  /// Minimum time between two reports to one coordinator.
  duration min_report_interval = std::chrono::milliseconds(5);
  allocation::coordinator_options coordinator;
};

/// Deterministic state machine that communicates through a port. The router
/// must use leases (directory_options::leased).
class fleet_node {
 public:
  fleet_node(fleet_options options,
             routing::request_router& router,
             i_random& random,
             i_fleet_port& port,
             time_point now);

  /// An outbound link was opened or reopened.
  void OnLinkUp(link_id link, time_point now);
  void OnMessage(link_id link,
                 const message& message,
                 time_point now,
                 routing::effects& out);
  targets::announce_result OnAnnouncement(
      const targets::announcement& announcement,
      time_point now,
      routing::effects& out);
  /// Must be called after every event of the router: requests the slots that it
  /// needs and returns idle slots that other routers need.
  void AfterRouterEvent(time_point now, routing::effects& out);
  /// Must be called once `NextDeadline` has passed.
  void OnTick(time_point now, routing::effects& out);
  [[nodiscard]] time_point NextDeadline() const;

  /// Accepts an operator's order and sends it to all peers.
  membership::data_centre_order OrderDataCentre(
      const data_centre_id& data_centre,
      bool out,
      time_point now,
      routing::effects& effects);
  /// A planned outage has begun or ended. It isn't sent to peers, as every
  /// daemon reads it from its own sheet.
  void SetPlannedOutage(const data_centre_id& data_centre,
                        bool out,
                        time_point now,
                        routing::effects& effects);
  /// Starts a shutdown: another daemon, if any, takes over coordination.
  /// Requests that wait or run here are completed with slots from the new
  /// coordinator.
  void BeginLeave(time_point now);
  /// Called after the last request has ended: returns all slots.
  void EndLeave(time_point now);

  [[nodiscard]] const membership::member_table& members() const {
    return members_;
  }
  [[nodiscard]] const allocation::slot_coordinator& coordinator() const {
    return coordinator_;
  }
  [[nodiscard]] const membership::data_centre_orders& orders() const {
    return orders_;
  }
  [[nodiscard]] bool IsCoordinator() const { return is_coordinator_; }

 private:
  struct link_state {
    std::optional<membership::member> peer;
    time_point last_contact;
  };
  /// State of this router's reports to one coordinator.
  struct report_state {
    explicit report_state(duration lease) : client(lease) {}

    allocation::slot_client client;
    time_point last_report{};
    bool urgent = false;
    /// Customers with waiting requests in the last report.
    std::set<std::pair<pool_id, customer_id>> waiting;
    /// Last reported service, by pool and customer.
    std::map<std::pair<pool_id, customer_id>, double> service;
    std::vector<targets::announcement> announcements;
  };
  using load_list = std::vector<routing::request_router::customer_load>;

  void Handle(link_id link,
              const heartbeat& heartbeat,
              time_point now,
              routing::effects& out);
  void Handle(link_id link,
              const allocation::router_report& report,
              time_point now,
              routing::effects& out);
  void Handle(link_id link,
              const allocation::grant_table& grant,
              time_point now,
              routing::effects& out);
  void SendHeartbeat(link_id link, bool leaving);
  void MergeOrders(const std::vector<membership::data_centre_order>& orders,
                   time_point now,
                   routing::effects& out);
  void ApplyOutage(const data_centre_id& data_centre,
                   time_point now,
                   routing::effects& out);
  void CheckLinks(time_point now);
  void UpdateRole(time_point now);

  [[nodiscard]] std::optional<membership::member> CoordinatorFor(
      const data_centre_id& data_centre,
      time_point now) const;
  /// Coordinators of the region, each with the data centres that it
  /// coordinates.
  [[nodiscard]] std::map<daemon_id, std::vector<data_centre_id>> Coordinators(
      time_point now) const;
  [[nodiscard]] std::optional<membership::member> FindAlive(
      const daemon_id& daemon,
      time_point now) const;
  void SendTo(const daemon_id& daemon, const message& message);
  report_state& ReportStateFor(const daemon_id& coordinator);

  void SendDueReports(time_point now, routing::effects& out);
  [[nodiscard]] bool IsDue(const daemon_id& coordinator,
                           const report_state& state,
                           time_point now) const;
  [[nodiscard]] bool NeedsUrgencyCheck();
  void MarkUrgent(const load_list& loads, time_point now);
  void SendReport(const daemon_id& coordinator,
                  const std::vector<data_centre_id>& served,
                  const load_list& loads,
                  time_point now,
                  routing::effects& out);
  void FillDemand(allocation::router_report& report,
                  report_state& state,
                  const daemon_id& coordinator,
                  const std::vector<data_centre_id>& served,
                  const load_list& loads) const;
  [[nodiscard]] std::uint32_t WaitingToReport(const daemon_id& coordinator,
                                              const pool_id& pool,
                                              std::uint32_t waiting) const;
  void ApplyGrant(const allocation::grant_table& grant,
                  time_point now,
                  routing::effects& out);
  void EmitLeaseChanges(const data_centre_id& data_centre,
                        const std::vector<targets::target_lease>& leases,
                        const daemon_id& lessor,
                        routing::effects& out) const;
  void ApplyPoolStatuses(const report_state& state);
  void UpdateCapacity(time_point now);
  void SendGrants(time_point now, routing::effects& out);

  fleet_options options_;
  routing::request_router& router_;
  i_fleet_port& port_;
  membership::member_table members_;
  membership::data_centre_orders orders_;
  std::set<data_centre_id> planned_out_;
  std::set<data_centre_id> known_data_centres_;
  allocation::slot_coordinator coordinator_;
  bool is_coordinator_ = false;
  bool leaving_ = false;
  /// A change of role that has not been published yet.
  std::optional<bool> pending_role_change_;
  std::map<link_id, link_state> outbound_;
  /// The link on which each router's last report arrived.
  std::map<daemon_id, link_id> report_links_;
  std::map<daemon_id, report_state> report_states_;
  time_point next_heartbeat_;
  time_point next_report_check_ = kNever;
};

}  // namespace burdocklock::fleet
