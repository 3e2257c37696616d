// Benchmark of one control host's part in a fleet without network I/O:
// processor time and bytes of what routers and targets make it do in a second,
// and of the second after all of them have lost their links to it.
#include <ctime>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "control/control_node.h"
#include "control/message_codec.h"
#include "framework/seeded_random.h"

namespace {

using namespace burdocklock;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

struct cost_options {
  std::uint32_t routers = 117;
  std::uint32_t targets = 262;
  std::uint32_t customers = 60;
  /// Control hosts that targets announce themselves to.
  std::uint32_t hosts = 6;
  std::uint32_t document_bytes = 16'000;
};

constexpr milliseconds kHeartbeat{500};
constexpr milliseconds kAnnounceInterval{1200};
constexpr milliseconds kLoadInterval{200};
constexpr milliseconds kStep{5};
// Targets at which one router has requests.
constexpr std::uint32_t kTargetsOfRouter = 20;
constexpr std::uint32_t kCustomersOfRouter = 10;

double ProcessorMilliseconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return 1e3 * static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) / 1e6;
}

// Encodes what is sent, as the links do.
struct encoding_links : control::i_link_port {
  control::link_id Open(const endpoint&) override {
    return control::link_id(++last_link);
  }
  [[nodiscard]] bool HasRoom(control::link_id) const override { return true; }
  void Reopen(control::link_id) override {}
  void Close(control::link_id) override {}
  void Send(control::link_id, const control::message& message) override {
    ++messages;
    bytes += control::Encode(message).size();
  }
  void SendToAll(const std::vector<control::link_id>& links,
                 const control::message& message) override {
    if (links.empty()) {
      return;
    }
    messages += links.size();
    bytes += links.size() * control::Encode(message).size();
  }

  std::uint64_t last_link = 0;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

struct instant_disk : control::i_control_port {
  void Store(quorum::batch_number batch,
             std::vector<quorum::storage_record>) override {
    stored.push_back(batch);
  }
  void StoreEvidence(crashes::evidence) override {}
  void OnRole(quorum::raft_role,
              quorum::term_number,
              const quorum::member_id&) override {}
  void OnMembers(const quorum::membership&) override {}
  void OnVote(const quorum::vote_note&) override {}
  void OnElection(const quorum::election_note&) override {}
  void OnJoin(const quorum::join_note&) override {}
  void OnState(control::state_revision,
               const control::state_contents&) override {}
  void OnTarget(const targets::announcement&,
                control::registry_result) override {}
  void OnStreamContradiction(const streams::stream_record&) override {}
  void OnStreamsDropped(std::uint64_t) override {}
  void OnLeastShare(const admission::least_share&) override {}
  void OnRollout(const rollouts::rollout_order&,
                 const rollouts::rollout_step&) override {}
  void OnError(const error&) override {}

  std::vector<quorum::batch_number> stored;
};

class cost_run {
 public:
  explicit cost_run(const cost_options& options)
      : options_(options),
        node_(
            {.daemon = daemon_id("core-0"),
             .raft = {.peer_endpoint = {.address = "10.0.0.1", .port = 7400}}},
            Recovered(),
            random_,
            links_,
            disk_,
            now_) {}

  nlohmann::ordered_json Run() {
    RunFor(seconds(4));
    const part steady = Measure(seconds(3));
    ConnectAll();
    const part after_loss = Measure(seconds(1));
    Configure();
    const part configuration = Measure(seconds(1));
    return {{"routers", options_.routers},
            {"targets", options_.targets},
            {"steady_ms_a_second", steady.ms / 3},
            {"steady_bytes_a_router_second",
             static_cast<double>(steady.bytes) / 3 / options_.routers},
            {"first_second_ms", after_loss.ms},
            {"first_second_messages", after_loss.messages},
            {"configuration_ms", configuration.ms - steady.ms / 3}};
  }

 private:
  struct part {
    double ms = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  static quorum::durable_state Recovered() {
    quorum::durable_state state;
    state.self = quorum::member_id("h0");
    state.base = {
        .last_index = quorum::log_index(1),
        .last_term = quorum::term_number(1),
        .members = {{.id = quorum::member_id("h0"),
                     .peer_endpoint = {.address = "10.0.0.1", .port = 7400},
                     .voter = true}}};
    return state;
  }

  part Measure(duration time) {
    const double begin = ProcessorMilliseconds();
    const std::uint64_t messages = links_.messages;
    const std::uint64_t bytes = links_.bytes;
    RunFor(time);
    return {.ms = ProcessorMilliseconds() - begin,
            .messages = links_.messages - messages,
            .bytes = links_.bytes - bytes};
  }

  // All links are new, and all targets announce a new incarnation.
  void ConnectAll() {
    for (std::uint32_t i = 0; i < options_.routers; ++i) {
      node_.OnLinkDown(LinkOf(i), now_);
    }
    ++life_;
  }

  void Configure() {
    node_.SetTime(now_);
    node_.ReplaceConfiguration(++version_,
                               std::string(options_.document_bytes, 'x'),
                               [](const control::command_outcome&) {});
  }

  void RunFor(duration time) {
    const time_point end = now_ + time;
    while (now_ < end) {
      now_ += kStep;
      for (std::uint32_t i = 0; i < options_.routers; ++i) {
        StepRouter(i);
      }
      for (std::uint32_t i = 0; i < options_.targets; ++i) {
        StepTarget(i);
      }
      for (const auto batch : std::exchange(disk_.stored, {})) {
        node_.OnDurable(batch, now_);
      }
      if (node_.NextDeadline() <= now_) {
        node_.OnTick(now_);
      }
    }
  }

  // Whether the step of an event with this interval has come, which differs
  // from one sender to the next.
  [[nodiscard]] bool IsDue(std::uint32_t sender, duration interval) const {
    const auto step = now_.time_since_epoch() / kStep;
    return (step + sender) % (interval / kStep) == 0;
  }

  void StepRouter(std::uint32_t index) {
    if (IsDue(index, kHeartbeat)) {
      Receive(LinkOf(index), control::introduction{
                                 .daemon = RouterName(index),
                                 .applied_revision = node_.state().revision()});
    }
    if (IsDue(index, kLoadInterval)) {
      Receive(LinkOf(index), control::load_report{.daemon = RouterName(index),
                                                  .load = LoadOf(index)});
    }
  }

  void StepTarget(std::uint32_t index) {
    if (!IsDue(index, kAnnounceInterval)) {
      return;
    }
    const targets::announcement announced = AnnouncementOf(index);
    if (index % options_.hosts == 0) {
      node_.SetTime(now_);
      node_.Announce(announced);
      return;
    }
    // Another control host passes it on.
    Receive(control::link_id(1),
            control::target_update{.targets = {{announced, 0}}});
  }

  void Receive(control::link_id link, const control::message& message) {
    const auto decoded = control::Decode(control::Encode(message));
    node_.OnMessage(link, decoded.value(), now_);
  }

  static control::link_id LinkOf(std::uint32_t router) {
    constexpr std::uint64_t kFirstInbound = 1'000'000;
    return control::link_id(kFirstInbound + router);
  }
  static daemon_id RouterName(std::uint32_t index) {
    return daemon_id("edge-shah-alam-" + std::to_string(index));
  }
  static target_id TargetName(std::uint32_t index) {
    return target_id("i-5f3a91c2" + std::to_string(index));
  }

  [[nodiscard]] targets::announcement AnnouncementOf(std::uint32_t index) {
    return {.target = TargetName(index),
            .life = incarnation(life_),
            .data_centre = data_centre_id("shah-alam"),
            .address = {.address = "10.0.0.1", .port = 9000},
            .pools = {pool_id("lamp-llm")},
            .state = targets::target_state::kReady,
            .version = software_version("v1"),
            .slots = 12,
            .cold_slots = 12,
            .sequence = ++last_sequence_,
            .cold_for = milliseconds(0)};
  }

  [[nodiscard]] admission::fleet_load LoadOf(std::uint32_t router) const {
    admission::fleet_load load;
    for (std::uint32_t i = 0; i < kTargetsOfRouter; ++i) {
      load.targets.push_back(
          {.target =
               TargetName((router * kTargetsOfRouter + i) % options_.targets),
           .in_flight = 1,
           .unread_tokens = 5000});
    }
    for (std::uint32_t i = 0; i < kCustomersOfRouter; ++i) {
      load.customers.push_back(
          {.pool = pool_id("lamp-llm"),
           .customer = customer_id(
               "customer-" + std::to_string((router + i) % options_.customers)),
           .demand = 12000,
           .started = 12000});
    }
    return load;
  }

  cost_options options_;
  seeded_random random_{1};
  time_point now_{seconds(1000)};
  encoding_links links_;
  instant_disk disk_;
  control::control_node node_;
  std::uint64_t version_ = 0;
  std::uint64_t life_ = 1;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Benchmark of a control host.");
  cost_options options;
  app.add_option("--routers", options.routers, "Number of routers");
  app.add_option("--targets", options.targets, "Number of targets");
  app.add_option("--customers", options.customers, "Number of customers");
  app.add_option("--hosts", options.hosts, "Number of control hosts");
  app.add_option("--document-bytes", options.document_bytes,
                 "Size of the configuration");
  CLI11_PARSE(app, argc, argv);
  std::cout << cost_run(options).Run().dump() << '\n';
  return 0;
}
