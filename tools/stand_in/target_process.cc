// See the header.
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

constexpr std::chrono::milliseconds kLeaveCheckPeriod{20};

}  // namespace

void AddTargetOptions(CLI::App& app, target_options& options) {
  app.add_option("--name", options.name, "Target name");
  app.add_option("--listen", options.listen, "Address to listen on");
  app.add_option("--entry-hosts", options.entry_hosts,
                 "Entry hosts to announce at, separated by commas");
  app.add_option("--token", options.token, "Target token");
  app.add_flag("--numbered", options.numbered,
               "Number the announcements, for control hosts");
  app.add_option("--data-centre", options.data_centre, "Data centre");
  app.add_option("--slots", options.slots, "Requests borne when warm");
  app.add_option("--cold-slots", options.cold_slots, "Requests borne cold");
  app.add_option("--load-lag-ms", options.load_lag_ms, "Age of load reports");
  app.add_option("--faults", options.faults,
                 "Kinds of periodic faults, separated by commas");
  app.add_option("--fault-period", options.fault_period,
                 "Every how many requests a fault occurs; 0 for never");
  app.add_option("--journal", options.journal,
                 "File that lists the requests and orders run");
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
  const auto announcing = std::make_shared<announcer>(
      io,
      announcer_options{
          .entry_hosts = ParseEndpoints(options.entry_hosts),
          .token = options.token,
          .load_lag = std::chrono::milliseconds(options.load_lag_ms),
          .numbered = options.numbered},
      [&description] { return description; }, process.load);
  SpawnFiber([announcing] { announcing->Run(); });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(use_fiber);
  description["state"] = "leaving";
  announcing->Stop();
  announcing->AnnounceOnce();
  while (process.active() > 0) {
    SleepFor(io, kLeaveCheckPeriod);
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
