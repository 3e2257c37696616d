// One member of the replicated log: elections, replication, membership and
// reads that are certain to be the newest.
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
#include "quorum/types/log_entry.h"
#include "quorum/types/quorum_message.h"
#include "quorum/types/storage_record.h"

namespace burdocklock::quorum {

struct raft_options {
  /// This host as others shall know it; the id comes from the durable state.
  endpoint links;
  endpoint commands;
  duration heartbeat = std::chrono::milliseconds(150);
  /// A follower campaigns after a random time between these two without a
  /// leader; a leader without a quorum steps down after the lesser one.
  duration min_election = std::chrono::milliseconds(800);
  duration max_election = std::chrono::milliseconds(1600);
  /// A voter silent for this time is removed if enough others remain.
  duration voter_silence = std::chrono::seconds(4);
  /// Hosts that may lose their disks at the same time.
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

/// Names one question of the owner whether its state is the newest.
using read_id = strong_type<struct read_id_tag, std::uint64_t>;
/// Counts the batches of records handed over for storage.
using batch_number = strong_type<struct batch_number_tag, std::uint64_t>;

struct outgoing_message {
  member_id to;
  quorum_message message;
};

struct read_result {
  read_id id;
  /// The owner's state, with all that was applied before this, was the newest
  /// when the question was asked.
  bool sure = false;
};

struct proposal {
  log_index index;
  term_number term;
};

/// To be applied to the owner's state, in order.
using applied_item = std::variant<log_entry, snapshot>;

struct raft_output {
  /// To be written and synced in order, then reported by `OnDurable`.
  batch_number batch;
  std::vector<storage_record> records;
  std::vector<outgoing_message> messages;
  std::vector<applied_item> applied;
  std::vector<read_result> reads;
};

/// Deterministic state machine of the Raft family, with pre-vote, a leader that
/// steps down without a quorum, and changes of one member at a time. Storage
/// is asynchronous: what must not be said before it is on disk is held back
/// until `OnDurable`; heartbeats do not wait for the disk.
///
/// Invariants: at most one leader a term; an entry is applied only when a
/// majority of the voters has it on disk; entries applied at one position are
/// equal at all members; a member counts for nothing before its own records
/// are durable.
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

  /// Appends a command; nullopt unless this member leads.
  std::optional<proposal> Propose(std::string command, time_point now);
  /// Asks for a `read_result`; false unless this member leads.
  bool RequestRead(read_id id, time_point now);
  /// The owner's state after the entry at `applied`, so that the log can be
  /// cut short.
  void Compact(log_index applied, std::string state);

  /// What is to be done since the last call.
  raft_output TakeOutput();

  [[nodiscard]] raft_role role() const { return role_; }
  [[nodiscard]] term_number term() const { return term_; }
  [[nodiscard]] const member_id& self() const { return self_; }
  /// The leader as far as known; empty if none was heard lately.
  [[nodiscard]] const member_id& leader() const { return leader_; }
  [[nodiscard]] const membership& members() const { return log_.members(); }
  [[nodiscard]] const member* FindMember(const member_id& id) const;
  [[nodiscard]] log_index commit() const { return commit_; }
  [[nodiscard]] const raft_log& log() const { return log_; }
  /// True if others should be asked to add this host.
  [[nodiscard]] bool WantsToJoin(time_point now) const;
  /// True if this member has heard, within the lesser election time, from a
  /// leader with nothing newer, or leads with a quorum itself.
  [[nodiscard]] bool IsCurrent(time_point now) const;
  [[nodiscard]] member Description() const;

 private:
  struct peer_progress {
    log_index next;
    log_index match;
    std::uint64_t acked_round = 0;
    time_point last_ack;
    time_point snapshot_sent{};
  };
  struct pending_batch {
    batch_number number;
    /// Last entry that is on disk once this batch is.
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
  void StartTrial(time_point now);
  void StartElection(time_point now);
  void CountVotes(time_point now);
  void BecomeFollower(term_number term, time_point now);
  void BecomeLeader(time_point now);
  void ArmElection(time_point now);
  [[nodiscard]] bool HeardLeaderLately(time_point now) const;
  [[nodiscard]] bool IsUpToDate(const vote_request& request) const;
  [[nodiscard]] vote_request MakeVoteRequest(bool trial) const;

  // Replication (replication.cc).
  void Handle(const member_id& from, const append_request& m, time_point now);
  void Handle(const member_id& from, const append_response& m, time_point now);
  void Handle(const member_id& from, const snapshot_request& m, time_point now);
  void AcceptLeader(const member_id& from, term_number term, time_point now);
  void AppendNew(const std::vector<log_entry>& entries);
  void AnswerAppend(const member_id& from,
                    log_index match,
                    std::uint64_t round);
  void AppendOwn(log_entry entry, time_point now);
  void Broadcast(time_point now);
  void SendEntries(const member_id& to, peer_progress& peer, time_point now);
  void AdvanceCommit();
  void SetCommit(log_index commit);
  void AnswerReads();
  void FailReads();
  [[nodiscard]] bool HasQuorum(time_point now) const;

  // Membership (membership_changes.cc).
  void Handle(const member_id& from, const join_request& m, time_point now);
  void ImproveMembership(time_point now);
  void ChangeMembers(membership members, time_point now);
  [[nodiscard]] bool MayChangeMembers() const;
  [[nodiscard]] bool IsHeard(const member_id& id, time_point now) const;
  [[nodiscard]] std::optional<member_id> FindRemovable(time_point now) const;
  void TrackPeers(time_point now);

  void Record(storage_record record);
  void RecordVote();
  void TruncateFrom(log_index first);
  void Send(const member_id& to, quorum_message message);
  void SendOnceDurable(const member_id& to, quorum_message message);
  [[nodiscard]] bool IsVoter(const member_id& id) const;
  [[nodiscard]] std::size_t VoterCount() const;
  [[nodiscard]] std::size_t Majority() const { return VoterCount() / 2 + 1; }

  raft_options options_;
  i_random& random_;
  member_id self_;
  term_number term_;
  member_id vote_;
  raft_log log_;
  log_index commit_;
  /// Last own entry known to be on disk.
  log_index durable_;

  raft_role role_ = raft_role::kFollower;
  member_id leader_;
  /// When the leader was last heard.
  time_point leader_heard_;
  /// The leader's commit position when it was last heard.
  log_index leader_commit_;
  time_point election_at_;
  bool in_trial_ = false;
  std::set<member_id> votes_;

  // While leading.
  std::map<member_id, peer_progress> peers_;
  std::uint64_t round_ = 0;
  time_point heartbeat_at_ = kNever;
  log_index term_start_;
  std::vector<pending_read> reads_;

  raft_output output_;
  std::vector<outgoing_message> held_back_;
  bool own_vote_recorded_ = false;
  std::deque<pending_batch> pending_;
  batch_number last_batch_{0};
};

}  // namespace burdocklock::quorum
