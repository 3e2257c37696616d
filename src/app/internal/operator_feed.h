// Receives routes, outages and targets from the control hosts and applies them
// to this router.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "admission/router_demand.h"
#include "app/internal/control_links.h"
#include "config/types/settings.h"
#include "control/i_router_view.h"
#include "control/router_client.h"
#include "framework/logging/i_logger.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "routes/i_configuration_reader.h"
#include "routes/route_index.h"
#include "routing/request_router.h"
#include "routing/types/effect.h"

namespace burdocklock::app {

/// All members but `Routes` must be called on the control thread.
class operator_feed : public control::i_router_view {
 public:
  using event = std::function<void(time_point now, routing::effects& out)>;
  /// Runs an event and performs the resulting effects.
  using event_runner = std::function<void(const event& event)>;

  operator_feed(boost::asio::io_context& io,
                const config::settings& settings,
                const routes::i_configuration_reader& reader,
                routing::request_router& router,
                i_logger& logger,
                event_runner run);

  result<void> Start();
  void Stop();
  void OnTick(time_point now, routing::effects& out);
  /// Must be called after every event of the router. Reports this router's load
  /// ahead of schedule if many tokens were granted since the last report, and
  /// new evidence about prompts.
  void AfterRouterEvent(time_point now);
  [[nodiscard]] time_point NextDeadline() const;
  /// Demand at this router over the mean of all routers; absent if that is not
  /// known.
  [[nodiscard]] std::optional<double> DemandOverMean() const;
  /// Sets what counts the calls that arrive, in thousandths of a generation;
  /// without one, none are reported.
  void SetCallCounter(std::function<std::uint64_t()> arrived_cost) {
    arrived_cost_ = std::move(arrived_cost);
  }
  void SetControlHosts(std::vector<endpoint> hosts);
  /// Tells control hosts where a stream of this router began.
  void RecordStream(const streams::stream_record& record, time_point now);
  /// Asks them where one began; the router receives the answer later.
  void AskStreamOrigin(stream_key key, time_point now);

  /// The current routes; nullptr until they have been received, and while the
  /// version in force cannot be read. Callable from any thread.
  [[nodiscard]] std::shared_ptr<const routes::route_index> Routes() const;
  [[nodiscard]] const peer::peer_traffic& traffic() const {
    return links_.traffic();
  }

  // control::i_router_view
  void OnState(control::state_revision revision,
               const control::state_contents& contents,
               bool current) override;
  void OnTarget(const targets::announcement& announcement,
                time_point heard) override;
  void OnRouters(const std::vector<daemon_id>& routers) override;
  void OnRolloutParts(
      const std::vector<rollouts::rollout_part>& parts) override;
  void OnEvidence(const crashes::evidence& received) override;
  [[nodiscard]] crashes::evidence KnownEvidence() const override;
  void OnStreamOrigin(
      stream_key key,
      const std::optional<streams::stream_origin>& origin) override;
  void OnStreamContradiction(
      const streams::stream_record& contradicting) override;
  void OnContactChanged(bool in_contact) override;
  void OnOthersLoad(const admission::fleet_load& others) override;

 private:
  // Runs `handle` as an event with `out_` and `now_` set.
  void Run(const std::function<void(time_point now)>& handle);
  void ApplyConfiguration(const std::string& document);
  void LogConfiguration(const routes::route_index& table) const;
  void SetRoutes(std::shared_ptr<const routes::route_index> routes);
  void ApplyOutages(const std::set<data_centre_id>& out);
  void UpdateRetryBudget();
  void ReportLoad(time_point now);
  void SendEvidence(time_point now);
  void LogContention(time_point now);

  const config::settings& settings_;
  const routes::i_configuration_reader& reader_;
  routing::request_router& router_;
  i_logger& logger_;
  event_runner run_;
  control_links links_;
  /// Set by Start().
  std::unique_ptr<control::router_client> client_;
  std::set<data_centre_id> out_of_service_;
  std::size_t router_count_ = 0;
  time_point next_load_report_{};
  time_point last_load_report_{};
  time_point next_outcomes_{};
  time_point last_evidence_{};
  time_point next_contention_log_{};
  time_point next_evidence_ = kNever;
  /// The directory's granted token count at the last load report.
  std::uint64_t reported_tokens_ = 0;
  /// When the other routers' load was last received; default if it is unknown.
  time_point others_load_received_{};
  std::function<std::uint64_t()> arrived_cost_;
  admission::counter_rate arrival_rate_;
  admission::router_demand own_demand_;
  std::optional<admission::router_demand> others_demand_;
  std::uint64_t version_ = 0;
  bool in_contact_ = false;
  // Effects and time of the event being handled.
  routing::effects* out_ = nullptr;
  time_point now_{};

  mutable std::mutex mutex_;
  // Guarded by `mutex_`.
  std::shared_ptr<const routes::route_index> routes_;
};

}  // namespace burdocklock::app
