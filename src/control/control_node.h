// A control host: its member of the Raft group, its target registry, and its
// links to routers and other control hosts.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/share_margin.h"
#include "control/i_control_commands.h"
#include "control/i_control_port.h"
#include "control/i_link_port.h"
#include "control/link_set.h"
#include "control/load_collector.h"
#include "control/operator_state.h"
#include "control/target_registry.h"
#include "control/types/leadership.h"
#include "control/types/message.h"
#include "crashes/evidence_store.h"
#include "framework/i_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "quorum/raft_node.h"
#include "rollouts/outcome_collector.h"
#include "rollouts/rollout_controller.h"
#include "streams/stream_origin_store.h"

namespace burdocklock::control {

struct control_options {
  daemon_id daemon;
  /// Control hosts to connect to besides the known members.
  std::vector<endpoint> seeds;
  /// Data centres that an outage can be set for.
  std::vector<data_centre_id> data_centres;
  quorum::raft_options raft;
  link_options links;
  /// Interval between batches of renewed targets; changed targets are sent
  /// sooner.
  duration target_batch_interval = std::chrono::milliseconds(500);
  /// Changed targets, and lists for new links, are collected for this long.
  duration target_change_interval = std::chrono::milliseconds(10);
  /// Minimum interval between state updates that were not asked for; grows
  /// with the number of routers like that of load summaries.
  duration min_state_interval = std::chrono::milliseconds(10);
  /// A command that is not committed within this time ends as `kUnknown`.
  duration command_timeout = std::chrono::seconds(2);
  /// Minimum interval between load summaries; grows by itself with every
  /// `routers_per_interval` routers.
  duration min_load_interval = std::chrono::milliseconds(30);
  std::size_t routers_per_interval = 8;
  /// A host that has started tells no list of routers before all of them have
  /// had this time to find it.
  duration router_list_delay = std::chrono::seconds(3);
  /// New evidence about prompt parts is collected for this long.
  duration evidence_interval = std::chrono::milliseconds(20);
  /// Evidence that was stored before this host started.
  crashes::evidence stored_evidence;
  /// Minimum interval between two times that evidence is stored; longer while
  /// there is much of it.
  duration evidence_store_interval = std::chrono::milliseconds(500);
  /// Followers wait this long before they send a new state to routers, so that
  /// normally only the leader does.
  duration follower_update_delay = std::chrono::milliseconds(250);
  /// Rollouts are refused without it.
  std::optional<rollouts::rollout_limits> rollouts;
  /// Interval between decisions on rollouts and their parts to routers; grows
  /// with the number of routers, up to twice as much.
  duration rollout_interval = std::chrono::milliseconds(250);
  std::size_t stream_capacity = streams::kControlHostCapacity;
  /// The log is compacted after this many entries or bytes of commands.
  std::size_t compact_entries = 64;
  std::size_t compact_bytes = 4 * 1024 * 1024;
};

/// Questions of routers about streams, since the start.
struct stream_counts {
  std::uint64_t asked = 0;
  std::uint64_t answered_unknown = 0;
};

/// Deterministic state machine over its ports.
///
/// Invariants: a command is reported as done only once it, or a configuration
/// of the same or a higher version, is committed; a read returns the state only
/// if it includes everything acknowledged before the read was requested.
class control_node : public i_control_commands {
 public:
  control_node(control_options options,
               quorum::durable_state recovered,
               i_random& random,
               i_link_port& links,
               i_control_port& port,
               time_point now);

  void OnTick(time_point now);
  [[nodiscard]] time_point NextDeadline() const;
  void OnLinkUp(link_id link, time_point now);
  void OnLinkDown(link_id link, time_point now);
  void OnMessage(link_id link, const message& message, time_point now);
  void OnDurable(quorum::batch_number batch, time_point now);
  /// Asks to be removed from the members before this host stops; see
  /// `quorum::raft_node::AwaitsLeave`.
  void Leave(time_point now);
  /// Answers commands that are pending, and all later ones, as unknown: nobody
  /// calls `OnTick` any more.
  void EndCommands();
  void SetSeeds(std::vector<endpoint> seeds, time_point now);
  /// Must be called before each `i_control_commands` call, as those take no
  /// time.
  void SetTime(time_point now) { now_ = now; }

  // i_control_commands
  void ReplaceConfiguration(std::uint64_t version,
                            std::string document,
                            command_done done) override;
  void ReadConfiguration(command_done done) override;
  void SetOutage(const data_centre_id& data_centre,
                 bool out,
                 command_done done) override;
  void BeginRollout(const rollouts::rollout_order& order,
                    command_done done) override;
  void ReadRollout(const pool_id& pool, command_done done) override;
  void Announce(const targets::announcement& announcement) override;
  void Withdraw(const target_id& target,
                std::optional<incarnation> life) override;

  [[nodiscard]] const quorum::raft_node& raft() const { return raft_; }
  [[nodiscard]] leadership Leadership(time_point now) const;
  [[nodiscard]] const operator_state& state() const { return state_; }
  [[nodiscard]] const target_registry& registry() const { return registry_; }
  [[nodiscard]] const streams::stream_origin_store& streams() const {
    return streams_;
  }
  [[nodiscard]] const stream_counts& stream_questions() const {
    return stream_questions_;
  }
  [[nodiscard]] std::size_t router_count() const;

 private:
  struct inbound_peer {
    introduction last_introduction;
    time_point last_seen;
    bool is_router = false;
    /// The peer has sent a load report on this link.
    bool reports_load = false;
    /// Last revision whose contents were sent on this link.
    state_revision sent_revision;
    /// Contents are not sent before this time.
    time_point contents_due{};
    /// Version of the list of routers that was sent on this link.
    std::uint64_t sent_routers = 0;
  };
  struct pending_command {
    quorum::term_number term;
    time_point deadline;
    command_done done;
  };
  struct pending_read {
    time_point deadline;
    command_done done;
  };

  void Handle(link_id link, const introduction& m);
  void Handle(link_id link, const state_update& m);
  void Handle(link_id link, const target_update& m);
  void Handle(link_id link, const quorum_envelope& m);
  void Handle(link_id link, const load_report& m);
  void Handle(link_id link, const load_summary& m);
  void Handle(link_id link, const evidence_update& m);
  void StoreEvidence();
  void Handle(link_id link, const stream_update& m);
  void Handle(link_id link, const stream_query& m);
  void Handle(link_id link, const stream_answer& m);
  void Handle(link_id link, const rollout_update& m);
  void Handle(link_id link, const unrecognised_message& m);

  // Commands and reads (control_commands.cc).
  void Propose(const operator_command& command, command_done done);
  [[nodiscard]] command_outcome NotLeaderOutcome() const;
  [[nodiscard]] command_outcome UnknownOutcome() const;
  void CompleteCommand(const quorum::log_entry& entry);
  void CompleteReads(const std::vector<quorum::read_result>& reads);
  void FailCommands();
  void ExpireCommands();

  void ProcessRaftOutput();
  void ApplyItem(const quorum::applied_item& item);
  void CompactLogIfLong();
  void ReportChanges();
  void ReportNotes(const quorum::raft_output& output);
  void SendQuorum(const quorum::outgoing_message& message);
  /// The link that the host has opened. Of several the one on which it has
  /// introduced itself last, as the others may be dead.
  [[nodiscard]] std::optional<link_id> FindInbound(
      const quorum::member_id& id) const;
  void SendJoinRequests();
  /// One link that is up to each control host in contact, no matter which of
  /// the two opened it.
  [[nodiscard]] std::vector<link_id> LinksToHosts() const;
  void UpdateLinks();
  [[nodiscard]] introduction MakeIntroduction() const;

  // Updates to routers and other control hosts (control_updates.cc).
  void ScheduleStateUpdates();
  void SendStateUpdate(link_id link, inbound_peer& router);
  void SendDueStateUpdates();
  /// Without contents and list of routers.
  [[nodiscard]] state_update MakeStateUpdate() const;
  /// Other hosts in contact, for routers as long as no members are known.
  [[nodiscard]] std::vector<endpoint> IntroducedHosts() const;
  /// Adds the list of routers unless the router has it.
  void AddRouters(inbound_peer& router, state_update& update) const;
  /// Intervals of messages to all routers grow with their number.
  [[nodiscard]] duration ScaledInterval(duration interval) const;
  [[nodiscard]] std::vector<link_id> RouterLinks() const;
  [[nodiscard]] bool IsFromHost(link_id link) const;
  /// Has the target sent to routers and, if it was received by this host, to
  /// other control hosts.
  void ScheduleChange(const targets::announcement& changed, bool received_here);
  void SendTargetChanges();
  void SendTargetBatch();
  /// Returns the links that are not to be sent whole lists; schedules these for
  /// those without room.
  [[nodiscard]] std::vector<link_id> ReadyForNews(
      const std::vector<link_id>& links);
  /// Whether the router lacks the newest state and was not sent it.
  [[nodiscard]] bool IsBehind(const inbound_peer& router) const;
  /// Likewise of this revision.
  [[nodiscard]] bool IsBehind(const inbound_peer& router,
                              state_revision revision) const;
  /// Has all targets and evidence sent on the link when it has room.
  void ScheduleLists(link_id link, duration delay);
  void SendScheduledLists();
  void SendLists(const std::vector<link_id>& links);
  [[nodiscard]] std::vector<aged_announcement> RecentTargets() const;
  void SendLoad();
  void ReportLeastShare(const load_totals& totals);
  void SendNewEvidence();
  void RemoveSilentPeers();
  void ExpireStreams();

  // Rollouts in progress (control_rollouts.cc).

  struct running_rollout {
    rollouts::rollout_controller controller;
    rollouts::outcome_collector outcomes;
    double part = 0;
    std::optional<rollouts::target_key> target_at_fault;
    /// `elapsed` is written to the log again from then on.
    time_point next_note{};
    /// When the end was proposed last.
    std::optional<time_point> end_proposed;
    /// Not in the log yet; two at most, so that it grows by little.
    std::vector<rollouts::rollout_step> steps = {};
  };
  /// Follows the operator state.
  void UpdateRollouts();
  /// As the leader: decides on all of them and tells routers the parts.
  void DecideRollouts();
  /// Returns the command that the decision takes, if any.
  std::optional<operator_command> Decide(
      running_rollout& running,
      std::vector<rollouts::rollout_part>& parts);
  [[nodiscard]] std::optional<target_id> NameOf(
      const std::optional<rollouts::target_key>& key) const;
  [[nodiscard]] end_rollout MakeEnd(const running_rollout& running,
                                    rollouts::rollout_phase phase) const;
  [[nodiscard]] rollouts::rollout_evidence EvidenceFor(
      const running_rollout& running) const;
  /// Requests of routers at targets of the pool that have another version.
  [[nodiscard]] std::uint32_t OldInFlight(
      const rollouts::rollout_order& order) const;
  void ReportStep(running_rollout& running,
                  const rollouts::rollout_evidence& evidence,
                  const rollouts::rollout_decision& decision);

  control_options options_;
  i_link_port& link_port_;
  i_control_port& port_;
  quorum::raft_node raft_;
  link_set links_;
  operator_state state_;
  target_registry registry_;
  load_collector load_;
  admission::share_margin margin_;
  time_point next_margin_report_{};
  crashes::evidence_store evidence_;
  /// Evidence that routers and other control hosts may lack.
  crashes::evidence new_evidence_;
  /// Those of them that routers sent. Hosts do not send on what they have from
  /// one another, as each has it from the routers or the one that sent it.
  crashes::evidence new_evidence_of_routers_;
  /// Where streams began, as routers have told.
  streams::stream_origin_store streams_;
  stream_counts stream_questions_;
  /// Dropped records that were reported through `port_`.
  std::uint64_t reported_stream_drops_ = 0;
  time_point next_evidence_send_ = kNever;
  time_point next_evidence_store_ = kNever;
  /// Not before then.
  time_point evidence_storable_at_{};
  time_point next_load_send_ = kNever;
  time_point last_load_send_{};
  time_point started_;
  time_point now_;

  std::map<link_id, inbound_peer> inbound_;
  /// Time of the last introduction from each router.
  std::map<daemon_id, time_point> routers_;
  std::map<quorum::log_index, pending_command> pending_commands_;
  std::map<quorum::read_id, pending_read> pending_reads_;
  quorum::read_id last_read_;
  /// Targets renewed since the last batch; true if the announcement was
  /// received by this host and not from another control host.
  std::map<target_id, bool> renewed_targets_;
  /// Targets that changed since the last message about them, likewise.
  std::map<target_id, bool> changed_targets_;
  time_point next_change_send_ = kNever;
  /// Links to be sent all targets and evidence, and until then no news of
  /// them. What they are sent is the newest, however long they had no room.
  std::set<link_id> scheduled_lists_;
  /// Incremented when the set of routers changes.
  std::uint64_t routers_version_ = 1;
  time_point last_state_send_{};

  /// Of all rollouts in progress, also at followers, which know from them when
  /// each began.
  std::map<pool_id, running_rollout> rollouts_;
  time_point next_rollout_decision_ = kNever;

  std::size_t entries_since_compaction_ = 0;
  std::size_t bytes_since_compaction_ = 0;
  time_point next_heartbeat_;
  time_point next_target_batch_;
  time_point next_join_request_;
  time_point next_state_send_ = kNever;
  bool commands_ended_ = false;
  /// Routers that lack it by `next_state_send_` are sent the newest state then.
  state_revision due_revision_;
  // Last values reported through `port_`.
  quorum::raft_role reported_role_ = quorum::raft_role::kFollower;
  quorum::member_id reported_leader_;
  quorum::membership reported_members_;
  state_revision reported_revision_;
};

}  // namespace burdocklock::control
