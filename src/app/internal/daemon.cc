// See the header.
#include "app/daemon.h"

#include <atomic>
#include <chrono>
#include <cmath>
#include <csignal>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/outcome/success_failure.hpp>

#include "app/control_loop.h"
#include "app/internal/caller_monitor.h"
#include "app/internal/logged_listener.h"
#include "app/internal/router_options.h"
#include "app/internal/settings_watch.h"
#include "config/sheet_index.h"
#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "framework/net/http_server.h"
#include "gateway/operator_handler.h"
#include "gateway/traffic_service.h"
#include "gateway/traffic_thread.h"

namespace burdocklock::app {

namespace {

// Interval at which a drain checks for unfinished requests.
constexpr std::chrono::milliseconds kDrainPollInterval{20};
// Time to write the final responses after requests were aborted at the
// deadline.
constexpr std::chrono::seconds kAbortGrace{2};
constexpr double kThousandths = 1000;

incarnation NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count()));
}

void LogAborted(const char* event,
                const routing::aborted_requests& aborted,
                i_logger& logger) {
  logger.Log(log_record(event, log_level::kWarning)
                 .Add("cut", aborted.total())
                 .Add("waiting", aborted.waiting)
                 .Add("begun", aborted.begun)
                 .Add("lost", aborted.lost)
                 .Add("oldest_ms", ToMilliseconds(aborted.oldest)));
}

}  // namespace

struct daemon::state {
  state(config::settings settings,
        config::sheet sheet,
        i_logger& logger,
        const i_interface_adapter* adapter,
        settings_source reread)
      : settings(std::move(settings)),
        logger(logger),
        adapter(adapter),
        watch(control_io,
              std::move(reread),
              logger,
              [this](const config::settings& changed) {
                control.SetControlHosts(changed.control.hosts);
              }),
        control(control_io,
                this->settings,
                std::make_shared<config::sheet_index>(std::move(sheet)),
                adapter,
                NewIncarnation(),
                logger),
        monitor(shared_traffic, control.metrics(), logger),
        operators(control, this->settings.operator_tokens),
        operator_server(control_io,
                        LoggedListener(this->settings.operators, logger),
                        operators) {}

  void OnTurn(duration busy, time_point now);
  result<endpoint> StartTraffic();
  result<void> StartReadiness();
  void StopAccepting();
  void CloseIdle();
  void RunControl();
  void WatchSignals(boost::asio::signal_set& signals);
  void DrainRequests();
  void StopTraffic();

  config::settings settings;
  i_logger& logger;
  const i_interface_adapter* adapter;
  // Must outlive its thread because the thread's scheduler refers to it.
  boost::asio::io_context control_io{1};
  settings_watch watch;
  gateway::traffic_state shared_traffic;
  control_loop control;
  caller_monitor monitor;
  gateway::operator_handler operators;
  net::http_server operator_server;
  std::vector<std::unique_ptr<gateway::traffic_thread>> traffic;
  // Serves callers on the control thread if there are no traffic threads.
  std::unique_ptr<gateway::traffic_service> control_thread_traffic;
  std::unique_ptr<net::i_http_handler> readiness_handler;
  std::unique_ptr<net::http_server> readiness;
  fiber_event drain_requested;
  result<daemon_addresses> started = daemon_addresses{};
  std::function<void(const daemon_addresses&)> on_started;
};

daemon::daemon(config::settings settings,
               config::sheet sheet,
               i_logger& logger,
               const i_interface_adapter* adapter,
               settings_source reread)
    : state_(std::make_unique<state>(std::move(settings),
                                     std::move(sheet),
                                     logger,
                                     adapter,
                                     std::move(reread))) {}

daemon::~daemon() = default;

result<void> daemon::Run(
    const std::function<void(const daemon_addresses&)>& on_started) {
  state_->on_started = on_started;
  std::thread control_thread([this] {
    RunFiberThread(
        state_->control_io, [this] { state_->RunControl(); },
        [this](duration busy, time_point now) { state_->OnTurn(busy, now); });
  });
  control_thread.join();
  if (!state_->started) {
    return state_->started.error();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void daemon::Stop() {
  boost::asio::post(state_->control_io,
                    [state = state_.get()] { state->control.Drain("stop"); });
}

void daemon::state::OnTurn(duration busy, time_point now) {
  if (control_thread_traffic) {
    control_thread_traffic->OnTurn(busy, now);
  }
  monitor.OnTurn(busy, now);
  const std::optional<double> relative = control.DemandOverMean();
  shared_traffic.demand_over_mean =
      relative ? std::llround(*relative * kThousandths) : -1;
}

result<endpoint> daemon::state::StartTraffic() {
  gateway::gateway_options options = MakeGatewayOptions(settings);
  const gateway::i_call_dialect* dialect =
      adapter != nullptr ? &adapter->calls() : nullptr;
  if (settings.limits.share_control_thread) {
    control_thread_traffic = std::make_unique<gateway::traffic_service>(
        control_io, options, control, dialect, shared_traffic);
    return control_thread_traffic->Start();
  }
  for (std::uint32_t i = 0; i < settings.limits.traffic_threads; ++i) {
    traffic.push_back(std::make_unique<gateway::traffic_thread>(
        options, control, dialect, shared_traffic));
    result<endpoint> bound = traffic.back()->Start();
    if (!bound) {
      return bound;
    }
    // With port 0, the first thread binds a free port, which the others share.
    options.listen = bound.value();
  }
  return options.listen;
}

result<void> daemon::state::StartReadiness() {
  if (adapter == nullptr || settings.readiness.port == 0) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  readiness_handler =
      adapter->MakeReadinessHandler([this] { return control.IsReady(); });
  readiness = std::make_unique<net::http_server>(
      control_io, LoggedListener(settings.readiness, logger),
      *readiness_handler);
  const result<endpoint> bound = readiness->Start();
  if (!bound) {
    return bound.error();
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void daemon::state::RunControl() {
  control.SetCallerCheck([this] { return shared_traffic.TakesCallers(); });
  if (settings.limits.memory_mb > 0 || settings.limits.descriptors > 0) {
    control.SetCallCounter(
        [this] { return shared_traffic.arrived_cost.load(); });
  }
  control.SetDrainHandler(
      [this](const std::string&) { drain_requested.Set(); });
  boost::asio::signal_set signals(control_io, SIGTERM, SIGINT, SIGHUP);
  WatchSignals(signals);
  const result<endpoint> peer_address = control.StartFleet();
  const result<endpoint> operator_address =
      peer_address ? operator_server.Start() : peer_address;
  const result<void> readiness_started =
      operator_address ? StartReadiness()
                       : result<void>(operator_address.error());
  const result<endpoint> caller_address =
      readiness_started ? StartTraffic()
                        : result<endpoint>(readiness_started.error());
  if (!caller_address) {
    started = caller_address.error();
    signals.cancel();
    operator_server.Stop();
    StopTraffic();
    control.StopFleet();
    return;
  }
  started = daemon_addresses{.callers = caller_address.value(),
                             .operators = operator_address.value()};
  logger.Log(log_record("started")
                 .Add("callers", ToString(caller_address.value()))
                 .Add("operators", ToString(operator_address.value())));
  on_started(started.value());
  watch.Start();
  drain_requested.Wait();
  watch.Stop();
  DrainRequests();
  StopTraffic();
  control.StopFleet();
  operator_server.Stop();
  if (readiness) {
    readiness->Stop();
  }
  signals.cancel();
  logger.Log(log_record("stopped"));
}

void daemon::state::WatchSignals(boost::asio::signal_set& signals) {
  signals.async_wait(
      [this, &signals](const boost::system::error_code& ec, int signal) {
        if (ec) {
          return;
        }
        if (signal == SIGHUP) {
          watch.Reload("SIGHUP");
        } else if (control.IsDraining()) {
          // A second signal aborts the unfinished requests.
          LogAborted("drain_forced", control.AbortUnfinished(), logger);
        } else {
          control.Drain(signal == SIGTERM ? "SIGTERM" : "SIGINT");
        }
        WatchSignals(signals);
      });
}

void daemon::state::DrainRequests() {
  const routing::drain_window window = *control.DrainWindow();
  SleepFor(control_io, window.notice_end - std::chrono::steady_clock::now());
  // New connections are still served: in a rolling restart, there may be no
  // other daemon that accepts them.
  CloseIdle();
  while (control.UnfinishedCount() > 0 &&
         std::chrono::steady_clock::now() < window.cut) {
    SleepFor(control_io, kDrainPollInterval);
  }
  const routing::aborted_requests cut = control.AbortUnfinished();
  if (cut.total() > 0) {
    LogAborted("drain_deadline", cut, logger);
  }
  const time_point abort_deadline =
      std::chrono::steady_clock::now() + kAbortGrace;
  while (control.UnfinishedCount() > 0 &&
         std::chrono::steady_clock::now() < abort_deadline) {
    SleepFor(control_io, kDrainPollInterval);
  }
}

void daemon::state::StopAccepting() {
  for (const auto& thread : traffic) {
    thread->Stop();
  }
  if (control_thread_traffic) {
    control_thread_traffic->Stop();
  }
}

void daemon::state::CloseIdle() {
  for (const auto& thread : traffic) {
    thread->CloseIdle();
  }
  if (control_thread_traffic) {
    control_thread_traffic->CloseIdle();
  }
}

void daemon::state::StopTraffic() {
  StopAccepting();
  // Waits without blocking the control thread, which the remaining connections
  // need in order to finish.
  while (shared_traffic.callers.open > 0) {
    SleepFor(control_io, kDrainPollInterval);
  }
  traffic.clear();
  control_thread_traffic.reset();
}

}  // namespace burdocklock::app
