// Benchmark of one router's decisions without network I/O: processor time of
// each kind of event while requests wait and targets have little room, as at a
// router that receives most of a customer's calls.
#include <ctime>

#include <chrono>
#include <cstdint>
#include <deque>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "framework/seeded_random.h"
#include "routing/i_routing_observer.h"
#include "routing/request_router.h"

namespace {

using namespace burdocklock;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

struct cost_options {
  std::uint32_t routers = 117;
  std::uint32_t targets = 262;
  std::uint32_t customers = 50;
  /// Requests that wait at the router.
  std::uint32_t waiting = 500;
  /// Requests that the router has at targets.
  std::uint32_t running = 200;
  std::uint32_t rounds = 400;
};

constexpr std::uint32_t kSlots = 12;
constexpr std::uint32_t kDataCentres = 6;
constexpr std::uint64_t kMemoryTokens = 433'373;
// Large enough not to limit any customer's share.
constexpr double kThroughput = 1e12;

struct no_observer : routing::i_routing_observer {
  void OnQueueWait(duration, time_point) override {}
  void OnFirstOutput(duration, time_point) override {}
};

double ProcessorMicroseconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return 1e6 * static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e3;
}

/// Mean processor time of one kind of event.
class cost_meter {
 public:
  template <typename Event>
  void Measure(Event event) {
    const double begin = ProcessorMicroseconds();
    event();
    sum_ += ProcessorMicroseconds() - begin;
    ++count_;
  }
  [[nodiscard]] double Mean() const {
    return count_ == 0 ? 0 : sum_ / static_cast<double>(count_);
  }

 private:
  double sum_ = 0;
  std::uint64_t count_ = 0;
};

class cost_run {
 public:
  explicit cost_run(const cost_options& options) : options_(options) {
    for (std::uint32_t i = 0; i < options_.customers; ++i) {
      router_.SetCustomer(Customer(i), {.max_queued = options_.waiting + 1});
    }
    std::vector<daemon_id> routers;
    for (std::uint32_t i = 0; i < options_.routers; ++i) {
      routers.push_back(daemon_id("edge-" + std::to_string(i)));
    }
    router_.mutable_directory().SetRouters(routers);
    router_.mutable_directory().SetCacheCapacity(Pool(), kMemoryTokens);
    router_.mutable_directory().SetPrefixCopying(Pool(), true);
    router_.SetPoolThroughput(Pool(), kThroughput);
    for (std::uint32_t i = 0; i < options_.targets; ++i) {
      Announce(i);
    }
  }

  nlohmann::ordered_json Run() {
    Step([&](routing::effects& out) {
      router_.SetOthersLoad(OthersLoad(), now_, out);
    });
    for (std::uint32_t i = 0; i < options_.running + options_.waiting; ++i) {
      Request();
    }
    const std::uint64_t searched = router_.totals().target_searches;
    for (std::uint32_t round = 0; round < options_.rounds; ++round) {
      RunRound(round);
    }
    return {{"targets", options_.targets},
            {"customers", options_.customers},
            {"waiting", router_.totals().waiting},
            {"in_flight", router_.totals().in_flight},
            {"arrival_us", arrival_.Mean()},
            {"completion_us", completion_.Mean()},
            {"announcement_us", announcement_.Mean()},
            {"others_load_us", others_load_.Mean()},
            {"refusal_us", refusal_.Mean()},
            {"searches_a_round",
             static_cast<double>(router_.totals().target_searches - searched) /
                 options_.rounds}};
  }

 private:
  struct running_attempt {
    request_seq request;
    attempt_number attempt;
  };

  static pool_id Pool() { return pool_id("lamp-llm"); }

  static customer_id Customer(std::uint32_t index) {
    return customer_id("customer-" + std::to_string(index));
  }
  static target_id Target(std::uint32_t index) {
    return target_id("i-5f3a91c2" + std::to_string(index));
  }

  // A target that frees a slot takes a waiting request, and another arrives.
  void RunRound(std::uint32_t round) {
    constexpr std::uint32_t kOthersLoadEvery = 10;
    now_ += milliseconds(1);
    if (!running_.empty()) {
      const running_attempt done = running_.front();
      running_.pop_front();
      completion_.Measure([&] {
        Step([&](routing::effects& out) {
          router_.OnAttempt(done.request, done.attempt,
                            routing::attempt_completed{}, now_, out);
        });
      });
    }
    arrival_.Measure([&] { Request(); });
    announcement_.Measure([&] { Announce(round % options_.targets); });
    if (round % kOthersLoadEvery == 0) {
      const admission::fleet_load others = OthersLoad();
      others_load_.Measure([&] {
        Step([&](routing::effects& out) {
          router_.SetOthersLoad(others, now_, out);
        });
      });
    }
    refusal_.Measure([&] {
      router_.OnRefusedEarly(1);
      last_refusal_ = router_.refusal_numbers().Next().value();
    });
  }

  // Leaves this router as many slots as it has running requests, spread over as
  // many targets as possible.
  [[nodiscard]] admission::fleet_load OthersLoad() const {
    admission::fleet_load others;
    const std::uint32_t each = options_.running / options_.targets;
    const std::uint32_t more = options_.running % options_.targets;
    for (std::uint32_t i = 0; i < options_.targets; ++i) {
      const std::uint32_t left = each + (i < more ? 1 : 0);
      others.targets.push_back(
          {.target = Target(i),
           .in_flight = kSlots > left ? kSlots - left : 0});
    }
    return others;
  }

  void Announce(std::uint32_t index) {
    Step([&](routing::effects& out) {
      router_.OnAnnouncement({.target = Target(index),
                              .life = incarnation(1),
                              .data_centre = data_centre_id(
                                  "dc" + std::to_string(index % kDataCentres)),
                              .address = {.address = "10.0.0.1", .port = 9000},
                              .pools = {Pool()},
                              .state = targets::target_state::kReady,
                              .version = software_version("v1"),
                              .slots = kSlots,
                              .cold_slots = kSlots,
                              .sequence = ++last_sequence_,
                              .cold_for = milliseconds(0)},
                             now_, now_, out);
    });
  }

  void Request() {
    constexpr std::uint32_t kSubjects = 1936;
    constexpr std::uint32_t kRootTokens = 512;
    constexpr std::uint32_t kSubjectTokens = 4870;
    constexpr std::uint32_t kOwnTokens = 600;
    const request_seq id(++last_request_);
    const std::uint32_t subject = random_.Below(kSubjects);
    routing::request_spec spec{
        .id = id,
        .customer = Customer(random_.Below(options_.customers)),
        .pool = Pool(),
        .prompt_tokens = kRootTokens + kSubjectTokens + kOwnTokens,
        .time_limit = seconds(3600)};
    spec.prompt = targets::prompt{
        .input_tokens = spec.prompt_tokens,
        .max_output_tokens = 400,
        .parts = {{.id = 1 + subject % 3, .tokens = kRootTokens},
                  {.id = 10 + subject, .tokens = kSubjectTokens},
                  {.id = 1'000'000 + id.value(), .tokens = kOwnTokens}}};
    Step([&](routing::effects& out) { router_.OnRequest(spec, now_, out); });
  }

  template <typename Event>
  void Step(Event event) {
    routing::effects out;
    event(out);
    for (const routing::effect& effect : out) {
      if (const auto* start = std::get_if<routing::start_attempt>(&effect)) {
        // Its prompt is read at once, so that slots alone are scarce.
        routing::effects ignored;
        router_.OnAttempt(start->request, start->attempt,
                          routing::attempt_first_output{}, now_, ignored);
        running_.push_back({start->request, start->attempt});
      }
    }
  }

  cost_options options_;
  seeded_random random_{1};
  no_observer observer_;
  time_point now_{seconds(1000)};
  routing::request_router router_{
      {.directory = {.local_data_centre = data_centre_id("dc0"),
                     .silence = seconds(3600),
                     .self = daemon_id("edge-0")}},
      random_,
      observer_};
  std::deque<running_attempt> running_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_refusal_ = 0;
  cost_meter arrival_;
  cost_meter completion_;
  cost_meter announcement_;
  cost_meter others_load_;
  cost_meter refusal_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Benchmark of one router's decisions.");
  cost_options options;
  app.add_option("--routers", options.routers, "Number of routers");
  app.add_option("--targets", options.targets, "Number of targets");
  app.add_option("--customers", options.customers, "Number of customers");
  app.add_option("--waiting", options.waiting, "Requests that wait");
  app.add_option("--running", options.running, "Requests at targets");
  app.add_option("--rounds", options.rounds, "Rounds of events measured");
  CLI11_PARSE(app, argc, argv);
  std::cout << cost_run(options).Run().dump() << '\n';
  return 0;
}
