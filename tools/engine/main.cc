// Stand-in for a model engine: speaks the OpenAI-style protocol, announces
// itself and shows faults on request.
#include <csignal>
#include <iostream>
#include <string>
#include <thread>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include "engine/engine_handler.h"
#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/sleep.h"
#include "stand_in/announcer.h"

namespace {

using namespace burdocklock;  // NOLINT(google-build-using-namespace)

struct engine_options {
  std::string name = "engine";
  std::string listen = "127.0.0.1:0";
  std::string entry_hosts;
  std::string token;
  std::string data_centre = "local";
  std::string models = "model";
  std::string fencing = "ignores";
  std::uint32_t slots = 16;
  std::uint32_t cold_slots = 2;
  std::uint32_t step_us = 10'000;
  std::uint32_t step_per_sequence_us = 100;
  std::uint32_t cold_ms = 5'000;
  std::uint32_t load_lag_ms = 500;
  std::size_t cache_blocks = 4096;
  std::string faults;
  std::string journal;
  unsigned fault_period = 0;
};

constexpr std::chrono::milliseconds kLeaveCheckPeriod{20};

std::deque<stand_in::fault> ParseFaults(const std::string& text) {
  std::deque<stand_in::fault> faults;
  for (const std::string& name : stand_in::SplitList(text)) {
    faults.push_back(stand_in::ParseFault(name));
  }
  return faults;
}

int RunEngine(boost::asio::io_context& io, const engine_options& options) {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  engine::batch batch(
      io, {.step = microseconds(options.step_us),
           .step_per_sequence = microseconds(options.step_per_sequence_us),
           .cold_slots = options.cold_slots,
           .cold_time = milliseconds(options.cold_ms)});
  engine::prefix_cache cache(options.cache_blocks);
  stand_in::fault_plan faults;
  faults.SetPeriodic(ParseFaults(options.faults), options.fault_period);
  stand_in::journal journal(options.journal);
  engine::engine_handler handler(io, batch, cache, faults, journal);
  net::http_server server(
      io, {.listen = stand_in::ParseEndpoints(options.listen).at(0)}, handler);
  const auto bound = server.Start();
  if (!bound) {
    std::cerr << bound.error().Message() << '\n';
    return 1;
  }
  std::cout << ToString(bound.value()) << std::endl;
  std::string state = "ready";
  const std::uint64_t incarnation = stand_in::WallMilliseconds();
  const auto announcer = std::make_shared<stand_in::announcer>(
      io,
      stand_in::announcer_options{
          .entry_hosts = stand_in::ParseEndpoints(options.entry_hosts),
          .token = options.token,
          .load_lag = milliseconds(options.load_lag_ms)},
      [&]() -> nlohmann::json {
        return {{"target", options.name},
                {"incarnation", incarnation},
                {"data_centre", options.data_centre},
                {"kind", "engine"},
                {"address", ToString(bound.value())},
                {"models", stand_in::SplitList(options.models)},
                {"state", state},
                {"slots", options.slots},
                {"cold_slots", options.cold_slots},
                {"fencing", options.fencing}};
      },
      [&]() -> nlohmann::json {
        return {{"running", batch.running()},
                {"waiting", 0},
                {"kv_used", cache.Used()}};
      });
  SpawnFiber([announcer] { announcer->Run(); });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(use_fiber);
  state = "leaving";
  announcer->Stop();
  announcer->AnnounceOnce();
  while (handler.active() > 0) {
    SleepFor(io, kLeaveCheckPeriod);
  }
  server.Stop();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in model engine.");
  engine_options options;
  app.add_option("--name", options.name, "Target name");
  app.add_option("--listen", options.listen, "Address to listen on");
  app.add_option("--entry-hosts", options.entry_hosts,
                 "Entry hosts to announce at, separated by commas");
  app.add_option("--token", options.token, "Target token");
  app.add_option("--data-centre", options.data_centre, "Data centre");
  app.add_option("--models", options.models, "Models, separated by commas");
  app.add_option("--fencing", options.fencing, "checks or ignores");
  app.add_option("--slots", options.slots, "Requests borne when warm");
  app.add_option("--cold-slots", options.cold_slots, "Requests borne cold");
  app.add_option("--step-us", options.step_us, "Step time in microseconds");
  app.add_option("--step-per-sequence-us", options.step_per_sequence_us,
                 "Step time added by each sequence, in microseconds");
  app.add_option("--cold-ms", options.cold_ms, "Length of the cold start");
  app.add_option("--load-lag-ms", options.load_lag_ms, "Age of load reports");
  app.add_option("--cache-blocks", options.cache_blocks,
                 "Prefix cache size in blocks");
  app.add_option("--faults", options.faults,
                 "Kinds of periodic faults, separated by commas");
  app.add_option("--fault-period", options.fault_period,
                 "Every how many requests a fault occurs; 0 for never");
  app.add_option("--journal", options.journal,
                 "File that lists the requests begun");
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io{1};
  int exit_code = 0;
  std::thread worker(
      [&] { RunFiberThread(io, [&] { exit_code = RunEngine(io, options); }); });
  worker.join();
  return exit_code;
}
