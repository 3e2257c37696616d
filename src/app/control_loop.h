// The control thread's event loop: owns the request router, passes it events in
// order of arrival and performs the resulting effects.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "app/i_interface_adapter.h"
#include "app/internal/operator_feed.h"
#include "app/internal/suspension_watch.h"
#include "config/sheet_index.h"
#include "config/types/settings.h"
#include "fleet/fleet_node.h"
#include "fleet/i_fleet_port.h"
#include "framework/logging/i_logger.h"
#include "framework/metrics/metric_registry.h"
#include "framework/seeded_random.h"
#include "framework/types/endpoint.h"
#include "framework/types/error.h"
#include "gateway/i_control.h"
#include "gateway/i_operations.h"
#include "peer/peer_network.h"
#include "routing/i_routing_observer.h"
#include "routing/request_router.h"

namespace burdocklock::app {

/// Members of `i_control` may be called from any thread; all others must be
/// called on the thread that runs the io_context.
class control_loop : public gateway::i_control,
                     public gateway::i_operations,
                     public routing::i_routing_observer,
                     public fleet::i_fleet_port {
 public:
  /// With `adapter`, routes, outages and targets are received from control
  /// hosts; without it, slots of targets are leased from the fleet's
  /// coordinators.
  control_loop(boost::asio::io_context& io,
               const config::settings& settings,
               std::shared_ptr<const config::sheet_index> sheet,
               const i_interface_adapter* adapter,
               incarnation life,
               i_logger& logger);

  /// Opens the links to other daemons and joins the fleet.
  result<endpoint> StartFleet();
  /// Returns all leased slots and closes the links.
  void StopFleet();
  /// Sets the function that is called once when a drain begins.
  void SetDrainHandler(std::function<void(const std::string& cause)> handler) {
    on_drain_ = std::move(handler);
  }
  /// Sets the check whether new callers are accepted without delay; callable
  /// from any thread. Without one, readiness does not depend on it.
  void SetCallerCheck(std::function<bool()> takes_callers) {
    takes_callers_ = std::move(takes_callers);
  }
  /// See `operator_feed`; absent without one.
  [[nodiscard]] std::optional<double> DemandOverMean() const;
  /// See `operator_feed`.
  void SetCallCounter(std::function<std::uint64_t()> arrived_cost);
  /// Updates the addresses at which control hosts are contacted.
  void SetControlHosts(const std::vector<endpoint>& hosts);
  /// Aborts all unfinished requests.
  routing::aborted_requests AbortUnfinished();
  [[nodiscard]] metric_registry& metrics() { return metrics_; }
  /// Returns the number of requests waiting or in flight.
  [[nodiscard]] std::size_t UnfinishedCount() const;

  // i_control
  request_seq NextRequest() override;
  [[nodiscard]] std::string RequestName(request_seq request) const override;
  [[nodiscard]] std::string RefusalName(refusal_seq refusal) const override;
  [[nodiscard]] std::shared_ptr<const config::sheet_index> Sheet()
      const override;
  [[nodiscard]] std::shared_ptr<const routes::route_index> Routes()
      const override;
  [[nodiscard]] bool IsDraining() const override;
  [[nodiscard]] std::optional<routing::drain_window> DrainWindow()
      const override;
  void Submit(const routing::request_spec& spec,
              std::shared_ptr<gateway::i_exchange> exchange) override;
  refusal_seq NextRefusal() override;
  void ReportRefusals(std::vector<refusals::named_refusal> refused) override;
  void ReportAttempt(request_seq request,
                     attempt_number attempt,
                     routing::attempt_event event) override;
  void ReportProgress(gateway::progress_batch batch) override;
  void ReportCallerLeft(request_seq request) override;
  void Announce(targets::announcement announcement) override;
  void ReportCrossedClose(const net::crossed_close& crossed) override;
  void ReportFailedConnection(const std::string& cause) override;

  // i_operations
  [[nodiscard]] bool IsReady() const override;
  std::string Metrics() override;
  std::string StatusJson() override;
  std::string TargetsJson() override;
  std::string CustomersJson() override;
  std::string MembersJson() override;
  bool OrderDataCentre(const std::string& data_centre, bool out) override;
  void Drain(const std::string& cause) override;

  // i_fleet_port
  void Send(fleet::link_id link, const fleet::message& message) override;
  void Reopen(fleet::link_id link) override;

  // i_routing_observer
  void OnQueueWait(duration wait, time_point now) override;
  void OnFirstOutput(duration latency, time_point now) override;

 private:
  using handler = std::function<void(time_point now, routing::effects& out)>;

  // Schedules `handle` on the control thread; callable from any thread.
  void Post(handler handle);
  void Perform(const routing::effects& effects, time_point now);
  void Perform(const routing::start_attempt& effect, time_point now);
  void Perform(const routing::cancel_attempt& effect, time_point now);
  void Perform(const routing::refuse_request& effect, time_point now);
  void Perform(const routing::forward_error_response& effect, time_point now);
  void Perform(const routing::truncate_response& effect, time_point now);
  void Perform(const routing::routing_decision& effect, time_point now);
  void Perform(const routing::attempt_failure_report& effect, time_point now);
  void Perform(const routing::request_ended& effect, time_point now);
  void Perform(const routing::ramp_changed& effect, time_point now);
  void Perform(const routing::lease_changed& effect, time_point now);
  void Perform(const routing::coordinator_changed& effect, time_point now);
  void Perform(const routing::suspect_block_changed& effect, time_point now);
  void Perform(const routing::rate_limit_changed& effect, time_point now);
  void Perform(const routing::stream_began& effect, time_point now);
  void Perform(const routing::ask_stream_origin& effect, time_point now);
  void Perform(const routing::target_leaves& effect, time_point now);
  void Perform(const routing::target_pause_began& effect, time_point now);
  void Perform(const routing::pool_short_began& effect, time_point now);
  // Runs `handle` immediately and performs the resulting effects.
  void Process(const handler& handle);
  void NoteSuspension(time_point now);
  bool OnPeerMessage(std::uint64_t link, const std::string& bytes);
  void CheckPlannedOutages(time_point now, routing::effects& out);
  void CountRefusals(const refusals::refusal& kind, std::size_t count);
  void LogRefusal(const refusals::refusal& refusal,
                  const std::string& request_name);
  /// Logs refusals of one kind in one line.
  void LogRefusals(const std::vector<refusals::named_refusal>& same);
  // The request id given by the caller, or this daemon's id if there is none.
  [[nodiscard]] std::string LogName(request_seq request) const;
  void DeliverTo(request_seq request, gateway::exchange_order order);
  void ArmTimer();
  [[nodiscard]] std::vector<targets::target_view> TargetViews(
      time_point now) const;
  void LogAnnouncement(const targets::announcement& announcement,
                       targets::announce_result result);
  void RegisterMetrics();

  boost::asio::io_context& io_;
  const config::settings& settings_;
  std::shared_ptr<const config::sheet_index> sheet_;
  std::string name_prefix_;
  i_logger& logger_;
  metric_registry metrics_;
  latency_histogram& queue_wait_;
  latency_histogram& first_output_;
  latency_histogram& token_gap_;
  latency_histogram& total_time_;
  seeded_random random_;
  time_point started_;
  routing::request_router router_;
  // Exactly one of these two is set.
  std::unique_ptr<fleet::fleet_node> node_;
  std::unique_ptr<operator_feed> feed_;
  std::unique_ptr<peer::peer_network> peers_;
  struct open_exchange {
    std::shared_ptr<gateway::i_exchange> exchange;
    std::string caller_name;
  };
  // Requests that have not ended or that still have a running attempt.
  std::unordered_map<request_seq, open_exchange> exchanges_;
  boost::asio::steady_timer timer_;
  time_point timer_at_ = kNever;
  suspension_watch suspension_;
  std::function<void(const std::string& cause)> on_drain_;
  // Set before callers are served.
  std::function<bool()> takes_callers_;
  std::atomic<std::uint64_t> last_request_{0};
  // Written once, before `draining_` is set.
  routing::drain_window drain_window_;
  std::atomic<bool> draining_{false};
};

}  // namespace burdocklock::app
