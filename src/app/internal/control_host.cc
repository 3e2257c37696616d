// See the header.
#include "app/control_host.h"

#include <chrono>
#include <csignal>
#include <map>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/outcome/success_failure.hpp>

#include "app/internal/control_links.h"
#include "app/internal/control_log.h"
#include "app/internal/control_report.h"
#include "app/internal/evidence_file.h"
#include "app/internal/logged_listener.h"
#include "app/internal/settings_watch.h"
#include "app/internal/timed_commands.h"
#include "control/control_node.h"
#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "framework/metrics/metric_registry.h"
#include "framework/net/http_server.h"
#include "framework/seeded_random.h"
#include "gateway/i_operations.h"
#include "gateway/operator_handler.h"
#include "storage/log_writer.h"

namespace burdocklock::app {

using std::chrono::steady_clock;

namespace {

// How long a host that is stopped waits for its removal from the members.
constexpr std::chrono::seconds kLeaveTimeout{2};

std::uint32_t RandomSeed() {
  return std::random_device{}();
}

}  // namespace

struct control_host::state : control::i_control_port, gateway::i_operations {
  state(config::settings initial_settings,
        i_logger& logger,
        const i_interface_adapter& adapter,
        settings_source reread)
      : settings(std::move(initial_settings)),
        logger(logger),
        adapter(adapter),
        random(RandomSeed()),
        links(io, settings.peer_listener, logger),
        evidence(settings.data_folder, logger),
        watch(io,
              std::move(reread),
              logger,
              [this](const config::settings& changed) {
                node->SetSeeds(changed.control.hosts, steady_clock::now());
                ArmTimer();
              }),
        timer(io),
        operators(*this, settings.operator_tokens),
        operator_server(io,
                        LoggedListener(settings.operators, logger),
                        operators) {}

  void RunControl();
  void OnDurable(quorum::batch_number batch);
  void RegisterMetrics();
  result<void> StartListeners();
  result<void> StartLinks();
  void WatchSignals(boost::asio::signal_set& signals);
  void ArmTimer();
  bool HasLeft();
  [[nodiscard]] control::control_options Options() const;

  // control::i_control_port
  void Store(quorum::batch_number batch,
             std::vector<quorum::storage_record> records) override;
  void StoreEvidence(crashes::evidence known) override {
    evidence.Store(std::move(known));
  }
  void OnRole(quorum::raft_role role,
              quorum::term_number term,
              const quorum::member_id& leader) override;
  void OnMembers(const quorum::membership& members) override;
  void OnVote(const quorum::vote_note& vote) override;
  void OnElection(const quorum::election_note& election) override;
  void OnJoin(const quorum::join_note& join) override;
  void OnState(control::state_revision revision,
               const control::state_contents& contents) override;
  void OnTarget(const targets::announcement& announcement,
                control::registry_result result) override;
  void OnStreamContradiction(
      const streams::stream_record& contradicting) override;
  void OnStreamsDropped(std::uint64_t count) override;
  void OnLeastShare(const admission::least_share& least) override;
  void OnRollout(const rollouts::rollout_order& order,
                 const rollouts::rollout_step& step) override;
  void OnError(const error& problem) override;

  // gateway::i_operations
  [[nodiscard]] bool IsReady() const override { return !stopping; }
  std::string Metrics() override;
  std::string StatusJson() override {
    return DescribeControlStatus(settings, *node);
  }
  std::string TargetsJson() override {
    return DescribeRegisteredTargets(*node);
  }
  std::string CustomersJson() override { return R"({"customers":[]})"; }
  std::string MembersJson() override { return DescribeLogMembers(*node); }
  bool OrderDataCentre(const std::string&, bool) override { return false; }
  void Drain(const std::string& cause) override;

  config::settings settings;
  i_logger& logger;
  const i_interface_adapter& adapter;
  boost::asio::io_context io{1};
  seeded_random random;
  metric_registry metrics;
  latency_histogram& log_write_latency =
      metrics.Latency("burdocklock_log_write_seconds");
  control_links links;
  control_log log;
  std::unique_ptr<storage::log_writer> writer;
  evidence_file evidence;
  // Submission time of each batch that is not durable yet.
  std::map<quorum::batch_number, time_point> pending_writes;
  std::unique_ptr<control::control_node> node;
  /// As last reported; absent if this host has not led.
  std::optional<admission::least_share> least_share;
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
  /// No longer a member, or not waiting to become none.
  bool stopped = false;
  time_point leave_deadline = kNever;
  std::function<void()> on_started;
  result<void> outcome = BOOST_OUTCOME_V2_NAMESPACE::success();
};

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
  auto opened = OpenControlLog(state_->settings, RandomSeed(), state_->logger);
  if (!opened) {
    return opened.error();
  }
  state_->log = std::move(opened.value());
  RunFiberThread(state_->io, [this] { state_->RunControl(); });
  return state_->outcome;
}

void control_host::Stop() {
  boost::asio::post(state_->io,
                    [state = state_.get()] { state->Drain("stop"); });
}

control::control_options control_host::state::Options() const {
  control::control_options options{
      .daemon = settings.daemon,
      .seeds = settings.control.hosts,
      .data_centres = settings.control.data_centres,
      .raft = {.peer_endpoint = settings.peer_listener,
               .command_endpoint = settings.commands,
               .tolerated_losses = settings.control.tolerated_disk_losses}};
  if (settings.rollouts.enabled) {
    options.rollouts = rollouts::rollout_limits{
        .exposure_ratio = settings.rollouts.exposure_ratio,
        .exposure_tolerance = settings.rollouts.exposure_tolerance};
  }
  return options;
}

void control_host::state::RunControl() {
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
  WatchSignals(signals);
  writer = std::make_unique<storage::log_writer>(
      std::move(log.file),
      storage::log_writer_handlers{
          .on_durable =
              [this](quorum::batch_number batch) {
                boost::asio::post(io, [this, batch] { OnDurable(batch); });
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
  if (node) {
    node->EndCommands();
  }
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
    control::control_options options = Options();
    options.stored_evidence = evidence.Load();
    node = std::make_unique<control::control_node>(
        std::move(options), std::move(log.state), random, links, *this,
        steady_clock::now());
    RegisterMetrics();
  }
  return started;
}

result<void> control_host::state::StartListeners() {
  commands = std::make_unique<timed_commands>(*node, logger, metrics,
                                              [this] { ArmTimer(); });
  command_handler = adapter.MakeCommandHandler(*commands);
  command_server = std::make_unique<net::http_server>(
      io, LoggedListener(settings.commands, logger), *command_handler);
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
          watch.Reload("SIGHUP");
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
  leave_deadline = steady_clock::now() + kLeaveTimeout;
  if (node != nullptr) {
    node->Leave(steady_clock::now());
    ArmTimer();
  } else {
    stop_requested.Set();
  }
}

bool control_host::state::HasLeft() {
  if (!node->raft().AwaitsLeave()) {
    return true;
  }
  if (steady_clock::now() < leave_deadline) {
    return false;
  }
  logger.Log(log_record("leave_timed_out", log_level::kWarning)
                 .Add("leader", node->raft().leader().value()));
  return true;
}

void control_host::state::ArmTimer() {
  if (stopped) {
    return;
  }
  if (stopping && HasLeft()) {
    stopped = true;
    stop_requested.Set();
    return;
  }
  const time_point next = node->NextDeadline();
  // A timer that fires early finds nothing due and is armed again.
  if (next >= timer_at) {
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
  pending_writes.emplace(batch, steady_clock::now());
  writer->Submit(batch, std::move(records));
}

void control_host::state::OnDurable(quorum::batch_number batch) {
  const time_point now = steady_clock::now();
  const auto end = pending_writes.upper_bound(batch);
  for (auto entry = pending_writes.begin(); entry != end; ++entry) {
    log_write_latency.Observe(now - entry->second, now);
  }
  pending_writes.erase(pending_writes.begin(), end);
  node->OnDurable(batch, now);
  ArmTimer();
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

void control_host::state::OnVote(const quorum::vote_note& vote) {
  ++metrics.Counter("burdocklock_votes_total",
                    {{"decision", ToString(vote.decision)}});
  logger.Log(log_record("vote")
                 .Add("candidate", vote.candidate.value())
                 .Add("term", vote.term.value())
                 .Add("pre_vote", vote.pre_vote)
                 .Add("decision", ToString(vote.decision)));
}

void control_host::state::OnElection(const quorum::election_note& election) {
  ++metrics.Counter("burdocklock_elections_total",
                    {{"result", ToString(election.result)}});
  logger.Log(log_record("election")
                 .Add("result", ToString(election.result))
                 .Add("term", election.term.value())
                 .Add("voters", election.voters)
                 .Add("responses", election.responses)
                 .Add("votes", election.votes));
}

void control_host::state::OnJoin(const quorum::join_note& join) {
  logger.Log(log_record("join_request")
                 .Add("member", join.joining.value())
                 .Add("decision", ToString(join.decision))
                 .Add("leader", node->raft().leader().value()));
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
                 .Add("rollouts", contents.rollouts.size())
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

void control_host::state::OnStreamContradiction(
    const streams::stream_record& contradicting) {
  ++metrics.Counter("burdocklock_stream_contradictions_total");
  std::ostringstream stream;
  stream << std::hex << contradicting.key.value();
  logger.Log(log_record("stream_contradiction", log_level::kError)
                 .Add("stream", stream.str())
                 .Add("pool", contradicting.origin.pool.value())
                 .Add("version", contradicting.origin.version.value()));
}

void control_host::state::OnStreamsDropped(std::uint64_t count) {
  logger.Log(log_record("stream_records_dropped", log_level::kWarning)
                 .Add("count", count)
                 .Add("held", node->streams().size()));
}

void control_host::state::OnLeastShare(const admission::least_share& least) {
  least_share = least;
  logger.Log(log_record("least_share")
                 .Add("pool", least.pool.value())
                 .Add("customer", least.customer.value())
                 .Add("margin", least.margin)
                 .Add("due", least.due)
                 .Add("begun", least.begun)
                 .Add("best", least.best));
}

void control_host::state::OnRollout(const rollouts::rollout_order& order,
                                    const rollouts::rollout_step& step) {
  const std::string& pool = order.pool.value();
  metrics.Counter("burdocklock_rollout_requests_total",
                  {{"pool", pool}, {"version", "old"}}) = step.begun_old;
  metrics.Counter("burdocklock_rollout_requests_total",
                  {{"pool", pool}, {"version", "new"}}) = step.begun_new;
  if (step.phase != rollouts::rollout_phase::kInProgress) {
    ++metrics.Counter("burdocklock_rollout_ends_total",
                      {{"pool", pool}, {"phase", ToString(step.phase)}});
  }
  logger.Log(log_record("rollout")
                 .Add("pool", pool)
                 .Add("version", order.version.value())
                 .Add("phase", ToString(step.phase))
                 .Add("part", step.part)
                 .Add("elapsed_ms", step.elapsed.count())
                 .Add("of_ms", order.time.count())
                 .Add("begun_old", step.begun_old)
                 .Add("begun_new", step.begun_new)
                 .Add("suspicion", step.suspicion)
                 .Add("cause", step.cause)
                 .Add("target_at_fault", step.target_at_fault.value()));
}

void control_host::state::OnError(const error& problem) {
  logger.Log(log_record("control_problem", log_level::kError)
                 .Add("detail", problem.Message()));
}

void control_host::state::RegisterMetrics() {
  const auto add = [this](const char* name, auto read) {
    metrics.Gauge(name, [read] { return static_cast<double>(read()); });
  };
  add("burdocklock_leads", [this] {
    return node->raft().role() == quorum::raft_role::kLeader ? 1 : 0;
  });
  add("burdocklock_term", [this] { return node->raft().term().value(); });
  add("burdocklock_commit", [this] { return node->raft().commit().value(); });
  add("burdocklock_voters", [this] { return node->raft().VoterCount(); });
  add("burdocklock_leader_known",
      [this] { return node->raft().leader().value().empty() ? 0 : 1; });
  add("burdocklock_leader_for_seconds", [this] {
    return ToSeconds(steady_clock::now() - node->raft().leader_since());
  });
  add("burdocklock_elections_lost",
      [this] { return node->raft().elections_lost(); });
  add("burdocklock_voters_linked",
      [this] { return node->Leadership(steady_clock::now()).voters_linked; });
  add("burdocklock_voters_responding", [this] {
    const quorum::raft_node& raft = node->raft();
    return raft.role() == quorum::raft_role::kLeader
               ? raft.ResponsiveVoterCount(steady_clock::now())
               : 0;
  });
  add("burdocklock_version",
      [this] { return node->state().contents().version; });
  add("burdocklock_routers", [this] { return node->router_count(); });
  add("burdocklock_targets", [this] { return node->registry().size(); });
  add("burdocklock_least_share_margin",
      [this] { return least_share ? least_share->margin : 1.0; });
  add("burdocklock_link_bytes_unsent", [this] { return links.UnsentBytes(); });
  add("burdocklock_link_messages_dropped",
      [this] { return links.traffic().messages_dropped; });
  add("burdocklock_link_messages_refused_total",
      [this] { return links.RefusedForSum(); });
  add("burdocklock_links_overflowed",
      [this] { return links.traffic().links_overflowed; });
  add("burdocklock_stream_records", [this] { return node->streams().size(); });
  add("burdocklock_stream_records_dropped",
      [this] { return node->streams().dropped(); });
  add("burdocklock_stream_questions",
      [this] { return node->stream_questions().asked; });
  add("burdocklock_stream_questions_unknown",
      [this] { return node->stream_questions().answered_unknown; });
}

std::string control_host::state::Metrics() {
  return metrics.Render(steady_clock::now());
}

}  // namespace burdocklock::app
