// Benchmark of the slot coordinator without network I/O: CPU time of reports
// and allocations, message sizes and memory for a given fleet size.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "allocation/slot_coordinator.h"
#include "framework/seeded_random.h"
#include "peer/message_codec.h"

namespace {

using namespace burdocklock;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

struct capacity_options {
  std::uint32_t routers = 280;
  std::uint32_t targets = 1300;
  std::uint32_t customers = 87;
  std::uint32_t pools = 7;
  std::uint32_t slots = 46;
  /// Number of customers with queued requests at each router.
  std::uint32_t customers_per_router = 8;
};

class capacity_run {
 public:
  explicit capacity_run(const capacity_options& options)
      : options_(options),
        coordinator_(MakeMember("c"),
                     {.directory = {.silence = seconds(1000)}},
                     random_) {}

  nlohmann::ordered_json Run() {
    coordinator_.Start(1, now_);
    for (std::uint32_t i = 0; i < options_.targets; ++i) {
      coordinator_.OnAnnouncement(MakeTarget(i), now_);
    }
    // The first rounds distribute the slots and are not measured.
    RunRound(1);
    RunRound(2);
    const double begin = CpuTimeSeconds();
    constexpr std::uint64_t kRounds = 3;
    for (std::uint64_t round = 3; round < 3 + kRounds; ++round) {
      RunRound(round);
    }
    const double cpu_seconds_per_round = (CpuTimeSeconds() - begin) / kRounds;
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return {{"routers", options_.routers},
            {"targets", options_.targets},
            {"customers", options_.customers},
            {"cpu_percent", 100 * cpu_seconds_per_round},
            {"report_bytes", report_bytes_},
            {"grant_bytes", grant_bytes_},
            {"peak_memory_mb", static_cast<double>(usage.ru_maxrss) / 1000}};
  }

 private:
  static membership::member MakeMember(const std::string& name) {
    return {.daemon = daemon_id(name),
            .life = incarnation(1),
            .data_centre = data_centre_id("a"),
            .region = region_id("r")};
  }

  targets::announcement MakeTarget(std::uint32_t i) const {
    return {.target = target_id("target-" + std::to_string(i)),
            .life = incarnation(1),
            .data_centre = data_centre_id("a"),
            .address = {.address = "10.0.0.1", .port = 9000},
            .pools = {pool_id(
                "model-" + std::to_string(i % std::max(1U, options_.pools)))},
            .state = targets::target_state::kReady,
            .slots = options_.slots,
            .cold_slots = options_.slots,
            .load = targets::load_report{.at_ms = 1}};
  }

  // Simulates one second: every router reports once, and the coordinator
  // allocates slots every 50 ms.
  void RunRound(std::uint64_t round) {
    report_bytes_ = 0;
    grant_bytes_ = 0;
    const std::uint32_t allocations_per_round = 20;
    for (std::uint32_t i = 0; i < options_.routers; ++i) {
      const allocation::router_report report = MakeReport(i, round);
      report_bytes_ += peer::Encode(report).size();
      coordinator_.OnReport(report, now_);
      if (i % std::max(1U, options_.routers / allocations_per_round) == 0) {
        coordinator_.Allocate(now_);
        for (const auto& [router, grant] : coordinator_.TakeGrants()) {
          grant_bytes_ += peer::Encode(grant).size();
          grants_[router] = grant;
        }
      }
    }
    now_ += seconds(1);
    const std::uint32_t routers = std::max(1U, options_.routers);
    report_bytes_ /= routers;
    grant_bytes_ /= routers;
  }

  allocation::router_report MakeReport(std::uint32_t index,
                                       std::uint64_t round) {
    const std::string name = "router-" + std::to_string(index);
    const allocation::grant_table& grant = grants_[daemon_id(name)];
    allocation::router_report report{.sender = MakeMember(name),
                                     .sequence = round,
                                     .applied_grant = grant.version,
                                     .applied_from = incarnation(1)};
    for (const targets::target_lease& lease : grant.leases) {
      report.holdings.push_back({.target = lease.target.target,
                                 .life = lease.target.life,
                                 .limit = lease.limit,
                                 .in_use = lease.limit,
                                 .ramp_limit = lease.ramp_limit});
    }
    for (std::uint32_t i = 0; i < options_.customers_per_router; ++i) {
      const std::uint32_t customer =
          (index * options_.customers_per_router + i) %
          std::max(1U, options_.customers);
      const std::uint32_t pool = (index + i) % std::max(1U, options_.pools);
      report.demand.push_back(
          {.pool = pool_id("model-" + std::to_string(pool)),
           .customers = {
               {.customer = customer_id("customer-" + std::to_string(customer)),
                .share = 1.0 + customer % 8,
                .waiting = 20,
                .running = 27,
                .service = 1000.0 * static_cast<double>(round)}}});
    }
    return report;
  }

  static double CpuTimeSeconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
           static_cast<double>(usage.ru_utime.tv_usec +
                               usage.ru_stime.tv_usec) /
               1e6;
  }

  capacity_options options_;
  seeded_random random_{1};
  time_point now_{seconds(1000)};
  allocation::slot_coordinator coordinator_;
  std::map<daemon_id, allocation::grant_table> grants_;
  std::uint64_t report_bytes_ = 0;
  std::uint64_t grant_bytes_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Benchmark of the slot coordinator.");
  capacity_options options;
  app.add_option("--routers", options.routers, "Number of routers");
  app.add_option("--targets", options.targets,
                 "Number of targets in the data centre");
  app.add_option("--customers", options.customers,
                 "Number of customers with queued requests");
  app.add_option("--pools", options.pools, "Models");
  CLI11_PARSE(app, argc, argv);
  std::cout << capacity_run(options).Run().dump() << '\n';
  return 0;
}
