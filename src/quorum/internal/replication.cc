// Log replication, commit index and reads of raft_node.
#include <algorithm>
#include <functional>
#include <utility>

#include "quorum/raft_node.h"

namespace burdocklock::quorum {

namespace {

// Minimum time between two snapshots sent to the same member.
constexpr std::chrono::milliseconds kMinSnapshotInterval{500};

}  // namespace

void raft_node::AcceptLeader(const member_id& from,
                             term_number term,
                             time_point now) {
  if (term > term_ || role_ != raft_role::kFollower) {
    BecomeFollower(term, now);
  }
  SetLeader(from, now);
  elections_lost_ = 0;
  last_led_term_ = term;
  split_retried_ = false;
  last_leader_contact_ = now;
  ResetElectionTimer(now);
}

void raft_node::Handle(const member_id& from,
                       const append_request& m,
                       time_point now) {
  if (m.term < term_) {
    Send(from, append_response{.term = term_, .round = m.round});
    return;
  }
  AcceptLeader(from, m.term, now);
  leader_commit_index_ = m.commit;
  const log_index base = log_.base().last_index;
  if (m.previous_index < base) {
    // Entries covered by the snapshot are committed and need no comparison.
    std::vector<log_entry> rest;
    std::copy_if(m.entries.begin(), m.entries.end(), std::back_inserter(rest),
                 [&](const log_entry& entry) { return entry.index > base; });
    const log_index last = std::max(
        base, m.previous_index + static_cast<std::uint64_t>(m.entries.size()));
    if (!rest.empty() && rest.front().index == base + 1) {
      AppendMissingEntries(rest);
    }
    SetCommit(std::min(m.commit, last));
    SendAppendResponse(from, last, m.round);
    return;
  }
  if (log_.TermAt(m.previous_index) != m.previous_term) {
    const log_index next_hint =
        std::min(log_.last_index(), PreviousIndex(m.previous_index));
    Send(from,
         append_response{.term = term_, .match = next_hint, .round = m.round});
    return;
  }
  AppendMissingEntries(m.entries);
  const log_index last =
      m.previous_index + static_cast<std::uint64_t>(m.entries.size());
  SetCommit(std::min(m.commit, last));
  SendAppendResponse(from, last, m.round);
}

void raft_node::AppendMissingEntries(const std::vector<log_entry>& entries) {
  for (const log_entry& entry : entries) {
    const auto existing_term = log_.TermAt(entry.index);
    if (existing_term == entry.term) {
      continue;
    }
    if (existing_term) {
      TruncateFrom(entry.index);
    }
    log_.Append(entry);
    Record(append_record{.entry = entry});
  }
}

void raft_node::SendAppendResponse(const member_id& from,
                                   log_index match,
                                   std::uint64_t round) {
  // Respond at once, so that liveness does not depend on the disk, but report
  // entries as matching only once they are on disk.
  Send(from, append_response{.term = term_,
                             .accepted = true,
                             .match = std::min(match, durable_index_),
                             .round = round});
  if (match > durable_index_) {
    SendWhenDurable(
        from,
        append_response{
            .term = term_, .accepted = true, .match = match, .round = round});
  }
}

void raft_node::Handle(const member_id& from,
                       const snapshot_request& m,
                       time_point now) {
  if (m.term < term_) {
    Send(from, append_response{.term = term_, .round = m.round});
    return;
  }
  AcceptLeader(from, m.term, now);
  if (m.contents.last_index <= commit_index_) {
    SendAppendResponse(from, commit_index_, m.round);
    return;
  }
  durable_index_ = log_index(0);
  for (pending_batch& batch : pending_batches_) {
    batch.last_index = log_index(0);
  }
  log_.Reset(m.contents);
  commit_index_ = m.contents.last_index;
  Record(rewrite_record{.state = {.self = self_,
                                  .term = term_,
                                  .vote = vote_,
                                  .base = m.contents,
                                  .entries = {}}});
  output_.applied.emplace_back(m.contents);
  SendAppendResponse(from, m.contents.last_index, m.round);
}

void raft_node::Handle(const member_id& from,
                       const append_response& m,
                       time_point now) {
  if (m.term > term_) {
    BecomeFollower(m.term, now);
    return;
  }
  const auto found = peers_.find(from);
  if (role_ != raft_role::kLeader || m.term != term_ || found == peers_.end()) {
    return;
  }
  peer_progress& peer = found->second;
  peer.last_ack = now;
  peer.acked_round = std::max(peer.acked_round, m.round);
  if (!m.accepted) {
    const log_index next = std::max(m.match + 1, peer.match + 1);
    // Resend only if the index changed; otherwise leader and follower would
    // exchange the same request and rejection endlessly.
    if (next != std::exchange(peer.next, next)) {
      SendEntries(from, peer, now);
    }
  } else {
    peer.match = std::max(peer.match, m.match);
    peer.next = std::max(peer.next, peer.match + 1);
    FollowRounds(peer, now);
    AdvanceCommit();
    if (peer.next <= log_.last_index()) {
      SendEntries(from, peer, now);
    }
  }
  CompleteReads();
  StepDownIfRemoved(now);
}

void raft_node::AppendAsLeader(log_entry entry, time_point now) {
  entry.index = log_.last_index() + 1;
  entry.term = term_;
  log_.Append(entry);
  Record(append_record{.entry = std::move(entry)});
  Broadcast(now);
}

std::optional<proposal> raft_node::Propose(std::string command,
                                           time_point now) {
  if (role_ != raft_role::kLeader) {
    return std::nullopt;
  }
  AppendAsLeader({.kind = entry_kind::kCommand, .command = std::move(command)},
                 now);
  return proposal{.index = log_.last_index(), .term = term_};
}

void raft_node::Broadcast(time_point now) {
  next_heartbeat_ = now + options_.heartbeat_interval;
  ++round_;
  for (auto& [id, peer] : peers_) {
    SendEntries(id, peer, now);
  }
}

void raft_node::SendEntries(const member_id& to,
                            peer_progress& peer,
                            time_point now) {
  const log_index previous = PreviousIndex(peer.next);
  if (previous < log_.base().last_index) {
    if (now - peer.snapshot_sent >= kMinSnapshotInterval) {
      peer.snapshot_sent = now;
      Send(to, snapshot_request{
                   .term = term_, .contents = log_.base(), .round = round_});
      return;
    }
    // Between snapshots, send a heartbeat so that the member does not start an
    // election.
    Send(to, append_request{.term = term_,
                            .previous_index = log_.last_index(),
                            .previous_term = log_.last_term(),
                            .commit = commit_index_,
                            .round = round_});
    return;
  }
  append_request request{
      .term = term_,
      .previous_index = previous,
      .previous_term = *log_.TermAt(previous),
      .entries = log_.EntriesFrom(peer.next, options_.max_entries_per_message,
                                  options_.max_bytes_per_message),
      .commit = commit_index_,
      .round = round_};
  // Entries are pipelined without waiting for the response; a lost message is
  // detected by the next heartbeat.
  peer.next = peer.next + static_cast<std::uint64_t>(request.entries.size());
  Send(to, std::move(request));
}

void raft_node::AdvanceCommit() {
  std::vector<log_index> match_indexes;
  for (const member& member : log_.members()) {
    if (!member.voter) {
      continue;
    }
    const auto peer = peers_.find(member.id);
    if (member.id == self_) {
      match_indexes.push_back(durable_index_);
    } else {
      match_indexes.push_back(peer == peers_.end() ? log_index(0)
                                                   : peer->second.match);
    }
  }
  if (match_indexes.empty()) {
    return;
  }
  std::sort(match_indexes.begin(), match_indexes.end(), std::greater<>());
  const log_index majority_index = match_indexes[match_indexes.size() / 2];
  // Entries of earlier terms are committed only together with an entry of the
  // current term.
  if (majority_index > commit_index_ && majority_index >= term_start_index_) {
    SetCommit(majority_index);
    CompleteReads();
  }
}

void raft_node::SetCommit(log_index commit) {
  commit = std::min(commit, log_.last_index());
  while (commit_index_ < commit) {
    commit_index_ = commit_index_ + 1;
    output_.applied.emplace_back(log_.EntryAt(commit_index_));
  }
}

bool raft_node::RequestRead(read_id id, time_point now) {
  if (role_ != raft_role::kLeader) {
    return false;
  }
  // Responses of a quorum to this round confirm that no newer leader had been
  // elected when the read was requested.
  Broadcast(now);
  reads_.push_back({.id = id,
                    .round = round_,
                    .index = std::max(commit_index_, term_start_index_)});
  CompleteReads();
  return true;
}

void raft_node::CompleteReads() {
  std::erase_if(reads_, [this](const pending_read& read) {
    std::size_t acknowledgements = 0;
    for (const member& member : log_.members()) {
      const auto peer = peers_.find(member.id);
      const bool acknowledged =
          member.id == self_ ||
          (peer != peers_.end() && peer->second.acked_round >= read.round);
      acknowledgements += member.voter && acknowledged ? 1 : 0;
    }
    if (acknowledgements < Majority() || commit_index_ < read.index) {
      return false;
    }
    output_.reads.push_back({.id = read.id, .confirmed = true});
    return true;
  });
}

void raft_node::FailReads() {
  for (const pending_read& read : std::exchange(reads_, {})) {
    output_.reads.push_back({.id = read.id, .confirmed = false});
  }
}

std::size_t raft_node::ResponsiveVoterCount(time_point now) const {
  std::size_t responsive = 0;
  for (const member& member : log_.members()) {
    if (!member.voter) {
      continue;
    }
    const auto peer = peers_.find(member.id);
    const bool recent =
        peer != peers_.end() &&
        now - peer->second.last_ack < options_.min_election_timeout;
    responsive += member.id == self_ || recent ? 1 : 0;
  }
  return responsive;
}

bool raft_node::HasQuorum(time_point now) const {
  return ResponsiveVoterCount(now) >= Majority();
}

}  // namespace burdocklock::quorum
