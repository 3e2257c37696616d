// See the header.
#include "app/control_host.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/outcome/success_failure.hpp>
#include <nlohmann/json.hpp>

#include "app/internal/control_links.h"
#include "app/internal/settings_watch.h"
#include "control/control_node.h"
#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "framework/metrics/metric_registry.h"
#include "framework/net/http_server.h"
#include "framework/seeded_random.h"
#include "gateway/i_operations.h"
#include "gateway/operator_handler.h"
#include "storage/log_file.h"
#include "storage/log_writer.h"

namespace burdocklock::app {

using nlohmann::ordered_json;
using std::chrono::steady_clock;

namespace {

// Ids of first voters have no random part, so that all hosts build the same
// list from the same addresses.
constexpr char kFirstLife[] = "#first";

std::uint32_t RandomSeed() {
  return std::random_device{}();
}

quorum::member_id FirstId(const endpoint& links) {
  return quorum::member_id(ToString(links) + kFirstLife);
}

// The state of a host that has no log: one of the first voters, or a stranger
// that others must let in.
quorum::durable_state NewState(const config::settings& settings,
                               std::uint32_t random) {
  const endpoint& own = settings.peer_listener;
  const auto& hosts = settings.control.hosts;
  quorum::durable_state fresh;
  const bool is_first =
      std::find(hosts.begin(), hosts.end(), own) != hosts.end();
  if (!settings.control.first_start || !is_first) {
    fresh.self =
        quorum::member_id(ToString(own) + "#" + std::to_string(random));
    return fresh;
  }
  fresh.self = FirstId(own);
  fresh.base.last_index = quorum::log_index(1);
  fresh.base.last_term = quorum::term_number(1);
  fresh.term = quorum::term_number(1);
  std::vector<endpoint> sorted = hosts;
  std::sort(sorted.begin(), sorted.end());
  for (const endpoint& host : sorted) {
    fresh.base.members.push_back(
        {.id = FirstId(host),
         .links = host,
         .commands = {.address = host.address, .port = settings.commands.port},
         .voter = true});
  }
  return fresh;
}

}  // namespace

struct control_host::state : control::i_control_port, gateway::i_operations {
  state(config::settings set,
        i_logger& logger,
        const i_interface_adapter& adapter,
        settings_source reread)
      : settings(std::move(set)),
        logger(logger),
        adapter(adapter),
        random(RandomSeed()),
        links(io, settings.peer_listener, logger),
        watch(io,
              std::move(reread),
              logger,
              [this](const config::settings& changed) {
                node->SetSeeds(changed.control.hosts, steady_clock::now());
                ArmTimer();
              }),
        timer(io),
        operators(*this, settings.operator_tokens),
        operator_server(io, {.listen = settings.operators}, operators) {}

  result<void> OpenLog();
  void RunControl();
  result<void> StartListeners();
  result<void> StartLinks();
  void WatchSignals(boost::asio::signal_set& signals);
  void ArmTimer();
  [[nodiscard]] control::control_options Options() const;

  // control::i_control_port
  void Store(quorum::batch_number batch,
             std::vector<quorum::storage_record> records) override;
  void OnRole(quorum::raft_role role,
              quorum::term_number term,
              const quorum::member_id& leader) override;
  void OnMembers(const quorum::membership& members) override;
  void OnState(control::state_revision revision,
               const control::state_contents& contents) override;
  void OnTarget(const targets::announcement& announcement,
                control::registry_result result) override;
  void OnProblem(const error& problem) override;

  // gateway::i_operations
  [[nodiscard]] bool IsReady() const override { return !stopping; }
  std::string Metrics() override;
  std::string StatusJson() override;
  std::string TargetsJson() override;
  std::string CustomersJson() override { return R"({"customers":[]})"; }
  std::string MembersJson() override;
  bool OrderDataCentre(const std::string&, bool) override { return false; }
  void Drain(const std::string& cause) override;

  config::settings settings;
  i_logger& logger;
  const i_interface_adapter& adapter;
  boost::asio::io_context io{1};
  seeded_random random;
  metric_registry metrics;
  control_links links;
  quorum::durable_state recovered;
  std::unique_ptr<storage::log_file> file;
  std::unique_ptr<storage::log_writer> writer;
  std::unique_ptr<control::control_node> node;
  settings_watch watch;
  boost::asio::steady_timer timer;
  time_point timer_at = kNever;
  gateway::operator_handler operators;
  net::http_server operator_server;
  std::unique_ptr<net::i_http_handler> command_handler;
  std::unique_ptr<control::i_control_commands> commands;
  std::unique_ptr<net::http_server> command_server;
  fiber_event stop_requested;
  bool stopping = false;
  std::function<void()> on_started;
  result<void> outcome = BOOST_OUTCOME_V2_NAMESPACE::success();
};

namespace {

// Gives the node its time with each command.
class timed_commands : public control::i_control_commands {
 public:
  timed_commands(control::control_node& node,
                 i_logger& logger,
                 std::function<void()> after)
      : node_(node), logger_(logger), after_(std::move(after)) {}

  void ReplaceConfiguration(std::uint64_t version,
                            std::string document,
                            control::command_done done) override {
    node_.SetTime(steady_clock::now());
    node_.ReplaceConfiguration(
        version, std::move(document),
        Logged(log_record("command")
                   .Add("command", "replace_configuration")
                   .Add("version", version),
               std::move(done)));
    after_();
  }
  void ReadConfiguration(control::command_done done) override {
    node_.SetTime(steady_clock::now());
    node_.ReadConfiguration(std::move(done));
    after_();
  }
  void SetOutage(const data_centre_id& data_centre,
                 bool out,
                 control::command_done done) override {
    node_.SetTime(steady_clock::now());
    node_.SetOutage(data_centre, out,
                    Logged(log_record("command")
                               .Add("command", out ? "take_out" : "take_back")
                               .Add("data_centre", data_centre.value()),
                           std::move(done)));
    after_();
  }
  void Announce(const targets::announcement& announcement) override {
    node_.SetTime(steady_clock::now());
    node_.Announce(announcement);
    after_();
  }
  void Withdraw(const target_id& target,
                std::optional<incarnation> life) override {
    node_.SetTime(steady_clock::now());
    node_.Withdraw(target, life);
    after_();
  }

 private:
  // Logs the outcome of a command, too.
  control::command_done Logged(log_record record, control::command_done done) {
    return [this, record = std::move(record), done = std::move(done)](
               const control::command_outcome& outcome) mutable {
      logger_.Log(record.Add("outcome", ToString(outcome.status)));
      done(outcome);
    };
  }

  control::control_node& node_;
  i_logger& logger_;
  std::function<void()> after_;
};

}  // namespace

control_host::control_host(config::settings settings,
                           i_logger& logger,
                           const i_interface_adapter& adapter,
                           settings_source reread)
    : state_(std::make_unique<state>(std::move(settings),
                                     logger,
                                     adapter,
                                     std::move(reread))) {}

control_host::~control_host() = default;

result<void> control_host::Run(const std::function<void()>& on_started) {
  state_->on_started = on_started;
  if (auto opened = state_->OpenLog(); !opened) {
    return opened;
  }
  RunFiberThread(state_->io, [this] { state_->RunControl(); });
  return state_->outcome;
}

void control_host::Stop() {
  boost::asio::post(state_->io,
                    [state = state_.get()] { state->Drain("stop"); });
}

result<void> control_host::state::OpenLog() {
  file = std::make_unique<storage::log_file>(settings.data_folder);
  auto opened = file->Open();
  if (!opened && opened.error().code == error_code::kMalformed) {
    // What is damaged must not be believed: this host starts as a new one.
    OnProblem(opened.error());
    if (auto aside = file->SetAside(); !aside) {
      return aside;
    }
    opened = std::optional<quorum::durable_state>();
  }
  if (!opened) {
    return opened.error();
  }
  const bool is_new = !opened.value().has_value();
  recovered = is_new ? NewState(settings, RandomSeed()) : *opened.value();
  logger.Log(log_record("log_opened")
                 .Add("member", recovered.self.value())
                 .Add("new", is_new)
                 .Add("term", recovered.term.value())
                 .Add("base", recovered.base.last_index.value())
                 .Add("entries", recovered.entries.size()));
  if (is_new) {
    // Nothing is said before this host knows on disk who it is.
    return file->Write({quorum::rewrite_record{recovered}});
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

control::control_options control_host::state::Options() const {
  return {.daemon = settings.daemon,
          .seeds = settings.control.hosts,
          .data_centres = settings.control.data_centres,
          .raft = {.links = settings.peer_listener,
                   .commands = settings.commands,
                   .tolerated_losses = settings.control.tolerated_disk_losses}};
}

void control_host::state::RunControl() {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  WatchSignals(signals);
  writer = std::make_unique<storage::log_writer>(
      std::move(file),
      storage::log_writer_handlers{
          .on_durable =
              [this](quorum::batch_number batch) {
                boost::asio::post(io, [this, batch] {
                  node->OnDurable(batch, steady_clock::now());
                  ArmTimer();
                });
              },
          .on_disk_state =
              [this](const result<void>& written) {
                logger.Log(written
                               ? log_record("disk_regained")
                               : log_record("disk_failed", log_level::kError)
                                     .Add("detail", written.error().Message()));
              }});
  const result<void> links_started = StartLinks();
  outcome = links_started ? StartListeners() : links_started;
  if (outcome) {
    logger.Log(log_record("started")
                   .Add("commands", ToString(settings.commands))
                   .Add("links", ToString(settings.peer_listener)));
    on_started();
    watch.Start();
    ArmTimer();
    stop_requested.Wait();
  }
  watch.Stop();
  if (command_server) {
    command_server->Stop();
  }
  operator_server.Stop();
  links.Stop();
  timer.cancel();
  signals.cancel();
  writer.reset();
  logger.Log(log_record("stopped"));
}

result<void> control_host::state::StartLinks() {
  auto started = links.Start(
      {.on_up =
           [this](control::link_id link) {
             node->OnLinkUp(link, steady_clock::now());
             ArmTimer();
           },
       .on_down =
           [this](control::link_id link) {
             node->OnLinkDown(link, steady_clock::now());
             ArmTimer();
           },
       .on_message =
           [this](control::link_id link, const control::message& message) {
             node->OnMessage(link, message, steady_clock::now());
             ArmTimer();
           }});
  if (started) {
    node = std::make_unique<control::control_node>(
        Options(), std::move(recovered), random, links, *this,
        steady_clock::now());
  }
  return started;
}

result<void> control_host::state::StartListeners() {
  commands =
      std::make_unique<timed_commands>(*node, logger, [this] { ArmTimer(); });
  command_handler = adapter.MakeCommandHandler(*commands);
  command_server = std::make_unique<net::http_server>(
      io, net::http_server_options{.listen = settings.commands},
      *command_handler);
  for (net::http_server* server : {command_server.get(), &operator_server}) {
    const result<endpoint> bound = server->Start();
    if (!bound) {
      return bound.error();
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void control_host::state::WatchSignals(boost::asio::signal_set& signals) {
  signals.async_wait(
      [this, &signals](const boost::system::error_code& ec, int signal) {
        if (ec) {
          return;
        }
        if (signal == SIGHUP) {
          watch.ReadAgain("SIGHUP");
        } else {
          Drain(signal == SIGTERM ? "SIGTERM" : "SIGINT");
        }
        WatchSignals(signals);
      });
}

void control_host::state::Drain(const std::string& cause) {
  if (std::exchange(stopping, true)) {
    return;
  }
  logger.Log(log_record("drain").Add("cause", cause));
  stop_requested.Set();
}

void control_host::state::ArmTimer() {
  const time_point next = node->NextDeadline();
  // An earlier timer finds nothing due and arms itself again.
  if (stopping || next >= timer_at) {
    return;
  }
  timer_at = next;
  timer.expires_at(next);
  timer.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    timer_at = kNever;
    node->OnTick(steady_clock::now());
    ArmTimer();
  });
}

void control_host::state::Store(quorum::batch_number batch,
                                std::vector<quorum::storage_record> records) {
  writer->Submit(batch, std::move(records));
}

void control_host::state::OnRole(quorum::raft_role role,
                                 quorum::term_number term,
                                 const quorum::member_id& leader) {
  ++metrics.Counter("burdocklock_role_changes_total",
                    {{"role", ToString(role)}});
  logger.Log(log_record("role")
                 .Add("role", ToString(role))
                 .Add("term", term.value())
                 .Add("leader", leader.value()));
}

void control_host::state::OnMembers(const quorum::membership& members) {
  std::vector<std::string> names;
  for (const quorum::member& member : members) {
    names.push_back(member.id.value() + (member.voter ? "" : " (learner)"));
  }
  logger.Log(log_record("members").Add("members", names));
}

void control_host::state::OnState(control::state_revision revision,
                                  const control::state_contents& contents) {
  std::vector<std::string> out;
  for (const data_centre_id& data_centre : contents.out) {
    out.push_back(data_centre.value());
  }
  logger.Log(log_record("state")
                 .Add("revision", revision.value())
                 .Add("version", contents.version)
                 .Add("data_centres_out", out));
}

void control_host::state::OnTarget(const targets::announcement& announcement,
                                   control::registry_result result) {
  ++metrics.Counter("burdocklock_announcements_total",
                    {{"result", ToString(result)}});
  if (result == control::registry_result::kRenewed) {
    return;
  }
  logger.Log(log_record("announcement")
                 .Add("target", announcement.target.value())
                 .Add("incarnation", announcement.life.value())
                 .Add("sequence", announcement.sequence)
                 .Add("state", ToString(announcement.state))
                 .Add("result", ToString(result)));
}

void control_host::state::OnProblem(const error& problem) {
  logger.Log(log_record("control_problem", log_level::kError)
                 .Add("detail", problem.Message()));
}

std::string control_host::state::Metrics() {
  return metrics.Render(steady_clock::now());
}

std::string control_host::state::StatusJson() {
  const quorum::raft_node& raft = node->raft();
  return ordered_json{{"daemon", settings.daemon.value()},
                      {"data_centre", settings.data_centre.value()},
                      {"role", ToString(raft.role())},
                      {"term", raft.term().value()},
                      {"leader", raft.leader().value()},
                      {"commit", raft.commit().value()},
                      {"version", node->state().contents().version},
                      {"routers", node->router_count()},
                      {"targets", node->registry().size()}}
      .dump();
}

std::string control_host::state::TargetsJson() {
  ordered_json list = ordered_json::array();
  for (const control::registry_entry& entry : node->registry().All()) {
    list.push_back({{"target", entry.announced.target.value()},
                    {"incarnation", entry.announced.life.value()},
                    {"data_centre", entry.announced.data_centre.value()},
                    {"address", ToString(entry.announced.address)},
                    {"state", ToString(entry.announced.state)},
                    {"slots", entry.announced.slots}});
  }
  return ordered_json{{"targets", list}}.dump();
}

std::string control_host::state::MembersJson() {
  ordered_json list = ordered_json::array();
  for (const quorum::member& member : node->raft().members()) {
    list.push_back({{"member", member.id.value()},
                    {"links", ToString(member.links)},
                    {"voter", member.voter}});
  }
  return ordered_json{{"members", list}}.dump();
}

}  // namespace burdocklock::app
