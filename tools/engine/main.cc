// Simulated model engine: implements an OpenAI-compatible API, announces itself
// and injects faults on request.
#include <chrono>
#include <string>

#include <CLI/CLI.hpp>

#include "engine/engine_handler.h"
#include "stand_in/announcer.h"
#include "stand_in/target_process.h"

namespace {

using namespace burdocklock;  // NOLINT(google-build-using-namespace)

struct engine_options {
  stand_in::target_options target;
  std::string models = "model";
  std::string fencing = "ignores";
  std::uint32_t step_us = 10'000;
  std::uint32_t step_per_sequence_us = 100;
  std::uint32_t cold_ms = 5'000;
  std::size_t cache_blocks = 4096;
};

int RunEngine(boost::asio::io_context& io, const engine_options& options) {
  using std::chrono::microseconds;
  engine::batch batch(
      io, {.step = microseconds(options.step_us),
           .step_per_sequence = microseconds(options.step_per_sequence_us),
           .cold_slots = options.target.cold_slots,
           .cold_time = std::chrono::milliseconds(options.cold_ms)});
  engine::prefix_cache cache(options.cache_blocks);
  stand_in::fault_plan faults = stand_in::MakeFaultPlan(options.target);
  stand_in::journal journal(options.target.journal);
  engine::engine_handler handler(io, batch, cache, faults, journal);
  const stand_in::target_process process{
      .options = options.target,
      .description = {{"kind", "engine"},
                      {"models", stand_in::SplitList(options.models)},
                      {"fencing", options.fencing}},
      .active_requests = [&] { return handler.active(); },
      .load = [&]() -> nlohmann::json {
        return {{"running", batch.running()},
                {"waiting", 0},
                {"kv_used", cache.Used()}};
      }};
  return stand_in::RunTarget(io, process, handler);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Simulated model engine.");
  engine_options options;
  stand_in::AddTargetOptions(app, options.target);
  app.add_option("--models", options.models, "Comma-separated models");
  app.add_option("--fencing", options.fencing,
                 "Fencing behaviour: checks or ignores");
  app.add_option("--step-us", options.step_us,
                 "Base step time in microseconds");
  app.add_option("--step-per-sequence-us", options.step_per_sequence_us,
                 "Step time added by each sequence, in microseconds");
  app.add_option("--cold-ms", options.cold_ms,
                 "Duration of the cold start in milliseconds");
  app.add_option("--cache-blocks", options.cache_blocks,
                 "Prefix cache size in blocks");
  CLI11_PARSE(app, argc, argv);
  return stand_in::RunOnFiberThread(
      [&](boost::asio::io_context& io) { return RunEngine(io, options); });
}
