// A member of the replicated log: elections, replication, membership changes
// and linearizable reads.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "framework/i_random.h"
#include "framework/types/time.h"
#include "quorum/raft_log.h"
#include "quorum/types/election_note.h"
#include "quorum/types/log_entry.h"
#include "quorum/types/quorum_message.h"
#include "quorum/types/storage_record.h"

namespace burdocklock::quorum {

struct raft_options {
  /// Addresses of this host as announced to other members; its id comes from
  /// the durable state.
  endpoint peer_endpoint;
  endpoint command_endpoint;
  duration heartbeat_interval = std::chrono::milliseconds(150);
  /// A follower that hears no leader starts an election after a random time
  /// between these two; a leader that hears no quorum steps down after the
  /// shorter one.
  duration min_election_timeout = std::chrono::milliseconds(800);
  duration max_election_timeout = std::chrono::milliseconds(1600);
  /// A voter that has not responded for this time is removed if enough voters
  /// remain. Bounds how soon after a lost host another one may be lost
  /// (docs/design/007).
  duration voter_timeout = std::chrono::milliseconds(1500);
  /// Number of hosts that may lose their disks at the same time.
  std::uint32_t tolerated_losses = 1;
  std::size_t max_entries_per_message = 64;
  std::size_t max_bytes_per_message = 512 * 1024;
};

enum class raft_role { kFollower, kCandidate, kLeader };

constexpr const char* ToString(raft_role role) {
  switch (role) {
    case raft_role::kFollower:
      return "follower";
    case raft_role::kCandidate:
      return "candidate";
    case raft_role::kLeader:
      return "leader";
  }
  return "follower";
}

/// Identifies a read request of the owner.
using read_id = strong_type<struct read_id_tag, std::uint64_t>;
/// Sequence number of a batch of records handed over for storage.
using batch_number = strong_type<struct batch_number_tag, std::uint64_t>;

struct outgoing_message {
  member_id to;
  quorum_message message;
};

struct read_result {
  read_id id;
  /// The owner's state, including everything applied before this result, was
  /// up to date when the read was requested.
  bool confirmed = false;
};

struct proposal {
  log_index index;
  term_number term;
};

/// Why a vote was given to a candidate or not.
enum class vote_decision {
  kGranted,
  /// The member hears a leader, or leads with a majority.
  kLeaderPresent,
  kOldTerm,
  kVotedForOther,
  /// Another candidate stands, and was heard recently.
  kOtherStands,
  /// The candidate's log lacks entries that the member has.
  kLogBehind,
};

constexpr const char* ToString(vote_decision decision) {
  switch (decision) {
    case vote_decision::kGranted:
      return "granted";
    case vote_decision::kLeaderPresent:
      return "leader_present";
    case vote_decision::kOldTerm:
      return "old_term";
    case vote_decision::kVotedForOther:
      return "voted_for_other";
    case vote_decision::kOtherStands:
      return "other_stands";
    case vote_decision::kLogBehind:
      return "log_behind";
  }
  return "granted";
}

/// A decision on a vote, for the owner's log.
struct vote_note {
  member_id candidate;
  term_number term;
  bool pre_vote = false;
  vote_decision decision = vote_decision::kGranted;
};

/// What was done with a request to join.
enum class join_decision {
  kAdded,
  /// To the leader.
  kPassedOn,
  /// Another change of the members is not committed yet.
  kChangePending,
  /// None is known, or the request was passed on to a member that does not
  /// lead.
  kNoLeader,
};

constexpr const char* ToString(join_decision decision) {
  switch (decision) {
    case join_decision::kAdded:
      return "added";
    case join_decision::kPassedOn:
      return "passed_on";
    case join_decision::kChangePending:
      return "change_pending";
    case join_decision::kNoLeader:
      return "no_leader";
  }
  return "added";
}

/// A decision on a request to join, for the owner's log.
struct join_note {
  member_id joining;
  join_decision decision = join_decision::kAdded;

  friend bool operator==(const join_note&, const join_note&) = default;
};

/// A committed entry to apply to the owner's state, or a snapshot that replaces
/// that state; to be processed in order.
using applied_item = std::variant<log_entry, snapshot>;

struct raft_output {
  /// Number of the batch in `records`, to be reported by `OnDurable` once the
  /// records are written in order and synced.
  batch_number batch;
  std::vector<storage_record> records;
  std::vector<outgoing_message> messages;
  std::vector<applied_item> applied;
  std::vector<read_result> reads;
  std::vector<vote_note> votes;
  /// Attempts of this member that have ended; `kNotVoter` without repetitions.
  std::vector<election_note> elections;
  /// Without repetitions of the same decision, but for hosts that are added.
  std::vector<join_note> joins;
};

/// Deterministic Raft state machine with pre-vote, a leader that steps down
/// when it loses its quorum, and single-member membership changes. Storage is
/// asynchronous: messages that depend on records being on disk are deferred
/// until `OnDurable`; heartbeats do not wait for the disk.
///
/// Invariants: there is at most one leader per term; an entry is applied only
/// when a majority of the voters has it on disk; all members apply the same
/// entry at the same index; a member's votes and entries are not counted before
/// its records are durable.
class raft_node {
 public:
  raft_node(raft_options options,
            durable_state recovered,
            i_random& random,
            time_point now);

  void OnTick(time_point now);
  [[nodiscard]] time_point NextDeadline() const;
  void OnMessage(const member_id& from,
                 const quorum_message& message,
                 time_point now);
  void OnDurable(batch_number batch, time_point now);

  /// Appends a command; nullopt unless this member is the leader.
  std::optional<proposal> Propose(std::string command, time_point now);
  /// Requests a `read_result`; false unless this member is the leader.
  bool RequestRead(read_id id, time_point now);
  /// Replaces the log up to `applied` by a snapshot; `state` is the owner's
  /// state after applying that entry.
  void Compact(log_index applied, std::string state);

  /// Returns the output accumulated since the last call.
  raft_output TakeOutput();

  [[nodiscard]] raft_role role() const { return role_; }
  [[nodiscard]] term_number term() const { return term_; }
  [[nodiscard]] const member_id& self() const { return self_; }
  /// The last known leader; empty once this member wants to lead itself, or
  /// waits for a candidate.
  [[nodiscard]] const member_id& leader() const { return leader_; }
  /// Since when `leader` has been that.
  [[nodiscard]] time_point leader_since() const { return leader_since_; }
  /// How often this member wanted to become leader and did not since it last
  /// knew of one.
  [[nodiscard]] std::uint64_t elections_lost() const { return elections_lost_; }
  /// How this member's last attempt ended, or why it made none.
  [[nodiscard]] const std::optional<election_note>& last_election() const {
    return last_election_;
  }
  [[nodiscard]] const membership& members() const { return log_.members(); }
  [[nodiscard]] const member* FindMember(const member_id& id) const;
  [[nodiscard]] log_index commit() const { return commit_index_; }
  [[nodiscard]] const raft_log& log() const { return log_; }
  [[nodiscard]] std::size_t VoterCount() const;
  /// Voters that have responded to this leader within the minimum election
  /// timeout, and itself.
  [[nodiscard]] std::size_t ResponsiveVoterCount(time_point now) const;
  /// True if this host should send join requests: it is not a member, or it is
  /// not the leader and has not heard one recently.
  [[nodiscard]] bool WantsToJoin(time_point now) const;
  /// True if this member has heard from a leader within the minimum election
  /// timeout and has reached the commit index that the leader reported, or
  /// leads with a quorum and a committed entry of its term.
  [[nodiscard]] bool IsCurrent(time_point now) const;
  [[nodiscard]] member Description() const;

  /// Asks to be removed from the members, as this host is about to stop.
  void Leave(time_point now);
  /// True while this member's removal is possible and not yet committed, or a
  /// learner that may make it possible catches up. Until then the voters that
  /// remain may lack the majority that they need for a further loss.
  [[nodiscard]] bool AwaitsLeave() const;

 private:
  struct peer_progress {
    log_index next;
    log_index match;
    std::uint64_t acked_round = 0;
    time_point last_ack;
    time_point snapshot_sent{};
    /// A learner's round of replication ends when it has what the leader's log
    /// ended with as the round began.
    log_index round_target;
    time_point round_began{};
    /// The last round was shorter than the minimum election timeout.
    bool keeps_pace = false;
    /// When the member last asked to be removed.
    std::optional<time_point> leave_requested = std::nullopt;
  };
  struct pending_batch {
    batch_number number;
    /// Last log entry that is on disk once this batch is.
    log_index last_index;
    term_number term;
    std::vector<outgoing_message> messages;
    bool own_vote = false;
  };
  struct pending_read {
    read_id id;
    std::uint64_t round = 0;
    log_index index;
  };

  // Elections (election.cc).
  void Handle(const member_id& from, const vote_request& m, time_point now);
  void Handle(const member_id& from, const vote_response& m, time_point now);
  void StartPreVote(time_point now);
  void StartElection(time_point now);
  /// Ends an attempt that has not succeeded in time; false if others should go
  /// first.
  bool GiveUpElection(time_point now);
  /// Keeps other voters from standing while this one's votes are written.
  void AnnounceCandidacy(time_point now);
  void SendToOtherVoters(const vote_request& request);
  /// Has this member stand soon, as a candidate has given up in term `after`.
  void StandSoon(term_number after, time_point now);
  /// Waits for the candidate as for a leader.
  void Await(const member_id& candidate, time_point now);
  /// How many times as long as the first one an election may last: more after
  /// each term without a leader, as disks may be slow.
  [[nodiscard]] int Patience() const;
  void CountVotes(time_point now);
  void RetryIfSplit(time_point now);
  void SetLeader(const member_id& leader, time_point now);
  void EndElection(election_result result);
  /// Why the attempt that is running has not succeeded yet.
  [[nodiscard]] election_result Obstacle(time_point now) const;
  /// Whether a majority has responded to this candidate within the minimum
  /// election timeout.
  [[nodiscard]] bool HearsMajority(time_point now) const;
  [[nodiscard]] std::size_t CountVoters(const std::set<member_id>& ids) const;
  void BecomeFollower(term_number term, time_point now);
  void BecomeLeader(time_point now);
  void ResetElectionTimer(time_point now);
  [[nodiscard]] bool HasRecentLeaderContact(time_point now) const;
  [[nodiscard]] bool IsUpToDate(const vote_request& request) const;
  /// Updates the term to that of an election that this member may vote in.
  vote_decision DecideVote(const member_id& from,
                           const vote_request& m,
                           time_point now);
  [[nodiscard]] vote_request MakeVoteRequest(bool pre_vote) const;

  // Replication (replication.cc).
  void Handle(const member_id& from, const append_request& m, time_point now);
  void Handle(const member_id& from, const append_response& m, time_point now);
  void Handle(const member_id& from, const snapshot_request& m, time_point now);
  void AcceptLeader(const member_id& from, term_number term, time_point now);
  void AppendMissingEntries(const std::vector<log_entry>& entries);
  void SendAppendResponse(const member_id& from,
                          log_index match,
                          std::uint64_t round);
  void AppendAsLeader(log_entry entry, time_point now);
  void Broadcast(time_point now);
  void SendEntries(const member_id& to, peer_progress& peer, time_point now);
  void AdvanceCommit();
  void SetCommit(log_index commit);
  void CompleteReads();
  void FailReads();
  [[nodiscard]] bool HasQuorum(time_point now) const;

  // Membership (membership_changes.cc).
  void Handle(const member_id& from, const join_request& m, time_point now);
  void Handle(const member_id& from, const leave_request& m, time_point now);
  void Handle(const member_id& from, const leave_response& m, time_point now);
  join_decision DecideJoin(const join_request& m,
                           bool passed_on,
                           time_point now);
  /// Steps down without a majority, otherwise sees to the members.
  void Upkeep(time_point now);
  void UpdateMembership(time_point now);
  void FollowRounds(peer_progress& peer, time_point now);
  [[nodiscard]] bool HasCaughtUp(const peer_progress& peer,
                                 time_point now) const;
  void SendLeaveRequest(time_point now);
  void StepDownIfRemoved(time_point now);
  void ChangeMembers(membership members, time_point now);
  [[nodiscard]] bool MayChangeMembers() const;
  [[nodiscard]] bool IsResponsive(const member_id& id, time_point now) const;
  [[nodiscard]] bool IsLeaving(const member_id& id, time_point now) const;
  [[nodiscard]] std::optional<member_id> FindRemovableMember(
      time_point now) const;
  [[nodiscard]] std::optional<member_id> FindReplacedMember(
      time_point now) const;
  [[nodiscard]] std::optional<member_id> FindLeavingMember(
      time_point now) const;
  [[nodiscard]] std::optional<member_id> FindSilentMember(time_point now) const;
  /// True if enough voters remain without one of them.
  [[nodiscard]] bool HasSpareVoter() const;
  /// True if the voters other than `id` that respond are a majority of them.
  [[nodiscard]] bool KeepsQuorumWithout(const member_id& id,
                                        time_point now) const;
  void UpdatePeers(time_point now);

  void Record(storage_record record);
  void RecordVote();
  void TruncateFrom(log_index first);
  void Send(const member_id& to, quorum_message message);
  void SendWhenDurable(const member_id& to, quorum_message message);
  [[nodiscard]] bool IsVoter(const member_id& id) const;
  [[nodiscard]] std::size_t Majority() const { return VoterCount() / 2 + 1; }

  raft_options options_;
  i_random& random_;
  member_id self_;
  term_number term_;
  member_id vote_;
  raft_log log_;
  log_index commit_index_;
  /// Last entry of the local log known to be on disk.
  log_index durable_index_;

  raft_role role_ = raft_role::kFollower;
  member_id leader_;
  time_point leader_since_;
  time_point last_leader_contact_;
  /// The commit index in the leader's latest append request.
  log_index leader_commit_index_;
  time_point election_deadline_;
  /// Until when a further split vote of this election is waited out.
  time_point split_deadline_;
  bool in_pre_vote_ = false;
  std::set<member_id> votes_;
  /// Voters that have responded in this election, whether they voted for this
  /// member or not.
  std::set<member_id> responders_;
  /// When members last responded to this one as a candidate.
  std::map<member_id, time_point> last_response_;
  /// Voters that have refused their vote in this election.
  std::set<member_id> refusers_;
  /// The candidate that this member waits for, perhaps itself, and until when
  /// it gives no other one a pre-vote.
  member_id awaited_;
  time_point awaited_until_{};
  /// When to tell again that this member stands.
  time_point next_candidacy_ = kNever;
  /// The last term known to have had a leader, or that of the start.
  term_number last_led_term_;
  /// A split vote was followed by an early one since a leader was heard.
  bool split_retried_ = false;
  std::uint64_t elections_lost_ = 0;
  std::optional<election_note> last_election_;

  /// This host is about to stop and neither campaigns nor joins again.
  bool leaving_ = false;
  /// The leader has confirmed that this host is no longer a member.
  bool left_ = false;
  time_point next_leave_request_ = kNever;

  // Leader state.
  std::map<member_id, peer_progress> peers_;
  std::uint64_t round_ = 0;
  time_point next_heartbeat_ = kNever;
  /// When the majority and the members are looked at next. Apart from
  /// `next_heartbeat_`, which each change and each read puts off.
  time_point next_upkeep_ = kNever;
  log_index term_start_index_;
  time_point elected_;
  std::vector<pending_read> reads_;

  std::optional<join_note> last_join_note_;

  raft_output output_;
  std::vector<outgoing_message> deferred_messages_;
  bool own_vote_recorded_ = false;
  /// A vote of this member for itself is not on disk yet.
  bool own_vote_unstored_ = false;
  std::deque<pending_batch> pending_batches_;
  batch_number last_batch_{0};
};

}  // namespace burdocklock::quorum
