// Command-line options and process lifecycle of simulated targets: announces
// the target, serves requests and drains on SIGTERM or SIGINT.
#include "stand_in/target_process.h"

#include <chrono>
#include <csignal>
#include <iostream>
#include <memory>
#include <thread>

#include <boost/asio/signal_set.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "framework/fiber/use_fiber.h"
#include "stand_in/announcer.h"

namespace burdocklock::stand_in {

namespace {

constexpr std::chrono::milliseconds kDrainPollInterval{20};

}  // namespace

void AddTargetOptions(CLI::App& app, target_options& options) {
  app.add_option("--name", options.name, "Target name");
  app.add_option("--listen", options.listen, "Address to listen on");
  app.add_option("--entry-hosts", options.entry_hosts,
                 "Comma-separated entry hosts to announce to");
  app.add_option("--token", options.token,
                 "Token that authenticates announcements");
  app.add_flag(
      "--numbered", options.numbered,
      "Add sequence numbers to announcements, as control hosts require");
  app.add_option("--data-centre", options.data_centre, "Data centre");
  app.add_option("--slots", options.slots, "Concurrent requests when warm");
  app.add_option("--cold-slots", options.cold_slots,
                 "Concurrent requests when cold");
  app.add_option("--load-lag-ms", options.load_lag_ms,
                 "Age of the reported load in milliseconds");
  app.add_option("--faults", options.faults,
                 "Comma-separated kinds of periodic faults");
  app.add_option(
      "--fault-period", options.fault_period,
      "Inject a fault into every n-th request; 0 disables periodic faults");
  app.add_option("--journal", options.journal,
                 "File that records started requests and executed orders");
}

fault_plan MakeFaultPlan(const target_options& options) {
  std::deque<fault> kinds;
  for (const std::string& name : SplitList(options.faults)) {
    kinds.push_back(ParseFault(name));
  }
  fault_plan plan;
  plan.SetPeriodic(std::move(kinds), options.fault_period);
  return plan;
}

int RunTarget(boost::asio::io_context& io,
              const target_process& process,
              net::i_http_handler& handler) {
  const target_options& options = process.options;
  net::http_server server(io, {.listen = ParseEndpoints(options.listen).at(0)},
                          handler);
  const auto bound = server.Start();
  if (!bound) {
    std::cerr << bound.error().Message() << '\n';
    return 1;
  }
  std::cout << ToString(bound.value()) << std::endl;
  nlohmann::json description = process.description;
  description["target"] = options.name;
  description["incarnation"] = WallMilliseconds();
  description["data_centre"] = options.data_centre;
  description["address"] = ToString(bound.value());
  description["slots"] = options.slots;
  description["cold_slots"] = options.cold_slots;
  description["state"] = "ready";
  const auto target_announcer = std::make_shared<announcer>(
      io,
      announcer_options{
          .entry_hosts = ParseEndpoints(options.entry_hosts),
          .token = options.token,
          .load_lag = std::chrono::milliseconds(options.load_lag_ms),
          .numbered = options.numbered},
      [&description] { return description; }, process.load);
  SpawnFiber([target_announcer] { target_announcer->Run(); });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(use_fiber);
  description["state"] = "leaving";
  target_announcer->Stop();
  target_announcer->AnnounceOnce();
  while (process.active_requests() > 0) {
    SleepFor(io, kDrainPollInterval);
  }
  server.Stop();
  return 0;
}

int RunOnFiberThread(
    const std::function<int(boost::asio::io_context& io)>& body) {
  boost::asio::io_context io{1};
  int exit_code = 0;
  std::thread worker(
      [&] { RunFiberThread(io, [&] { exit_code = body(io); }); });
  worker.join();
  return exit_code;
}

}  // namespace burdocklock::stand_in
