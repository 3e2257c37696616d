// Replication of raft_node: entries, commit and reads.
#include <algorithm>
#include <functional>
#include <utility>

#include "quorum/raft_node.h"

namespace burdocklock::quorum {

namespace {

// Least time between two snapshots to one member.
constexpr std::chrono::milliseconds kSnapshotSpacing{500};

}  // namespace

void raft_node::AcceptLeader(const member_id& from,
                             term_number term,
                             time_point now) {
  if (term > term_ || role_ != raft_role::kFollower) {
    BecomeFollower(term, now);
  }
  leader_ = from;
  leader_heard_ = now;
  ArmElection(now);
}

void raft_node::Handle(const member_id& from,
                       const append_request& m,
                       time_point now) {
  if (m.term < term_) {
    Send(from, append_response{.term = term_, .round = m.round});
    return;
  }
  AcceptLeader(from, m.term, now);
  leader_commit_ = m.commit;
  const log_index base = log_.base().last_index;
  if (m.previous_index < base) {
    // Entries up to the snapshot are committed; they need no comparison.
    std::vector<log_entry> rest;
    std::copy_if(m.entries.begin(), m.entries.end(), std::back_inserter(rest),
                 [&](const log_entry& entry) { return entry.index > base; });
    const log_index last = std::max(
        base, m.previous_index + static_cast<std::uint64_t>(m.entries.size()));
    if (!rest.empty() && rest.front().index == base + 1) {
      AppendNew(rest);
    }
    SetCommit(std::min(m.commit, last));
    AnswerAppend(from, last, m.round);
    return;
  }
  if (log_.TermAt(m.previous_index) != m.previous_term) {
    const log_index hint =
        std::min(log_.last_index(), Before(m.previous_index));
    Send(from, append_response{.term = term_, .match = hint, .round = m.round});
    return;
  }
  AppendNew(m.entries);
  const log_index last =
      m.previous_index + static_cast<std::uint64_t>(m.entries.size());
  SetCommit(std::min(m.commit, last));
  AnswerAppend(from, last, m.round);
}

void raft_node::AppendNew(const std::vector<log_entry>& entries) {
  for (const log_entry& entry : entries) {
    const auto held = log_.TermAt(entry.index);
    if (held == entry.term) {
      continue;
    }
    if (held) {
      TruncateFrom(entry.index);
    }
    log_.Append(entry);
    Record(append_record{.entry = entry});
  }
}

void raft_node::AnswerAppend(const member_id& from,
                             log_index match,
                             std::uint64_t round) {
  // Liveness must not wait for the disk; what is held must.
  Send(from, append_response{.term = term_,
                             .accepted = true,
                             .match = std::min(match, durable_),
                             .round = round});
  if (match > durable_) {
    SendOnceDurable(
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
  if (m.contents.last_index <= commit_) {
    AnswerAppend(from, commit_, m.round);
    return;
  }
  durable_ = log_index(0);
  for (pending_batch& batch : pending_) {
    batch.last_index = log_index(0);
  }
  log_.Reset(m.contents);
  commit_ = m.contents.last_index;
  Record(rewrite_record{.state = {.self = self_,
                                  .term = term_,
                                  .vote = vote_,
                                  .base = m.contents,
                                  .entries = {}}});
  output_.applied.emplace_back(m.contents);
  AnswerAppend(from, m.contents.last_index, m.round);
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
    // Only news is acted on, or the two would answer each other without end.
    if (next != std::exchange(peer.next, next)) {
      SendEntries(from, peer, now);
    }
  } else {
    peer.match = std::max(peer.match, m.match);
    peer.next = std::max(peer.next, peer.match + 1);
    AdvanceCommit();
    if (peer.next <= log_.last_index()) {
      SendEntries(from, peer, now);
    }
  }
  AnswerReads();
}

void raft_node::AppendOwn(log_entry entry, time_point now) {
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
  AppendOwn({.kind = entry_kind::kCommand, .command = std::move(command)}, now);
  return proposal{.index = log_.last_index(), .term = term_};
}

void raft_node::Broadcast(time_point now) {
  heartbeat_at_ = now + options_.heartbeat;
  ++round_;
  for (auto& [id, peer] : peers_) {
    SendEntries(id, peer, now);
  }
}

void raft_node::SendEntries(const member_id& to,
                            peer_progress& peer,
                            time_point now) {
  const log_index previous = Before(peer.next);
  if (previous < log_.base().last_index) {
    if (now - peer.snapshot_sent >= kSnapshotSpacing) {
      peer.snapshot_sent = now;
      Send(to, snapshot_request{
                   .term = term_, .contents = log_.base(), .round = round_});
      return;
    }
    // Meanwhile it must hear that there is a leader.
    Send(to, append_request{.term = term_,
                            .previous_index = log_.last_index(),
                            .previous_term = log_.last_term(),
                            .round = round_});
    return;
  }
  append_request request{
      .term = term_,
      .previous_index = previous,
      .previous_term = *log_.TermAt(previous),
      .entries = log_.From(peer.next, options_.max_entries_per_message,
                           options_.max_bytes_per_message),
      .commit = commit_,
      .round = round_};
  // Further entries follow without waiting for the answer; a lost message is
  // noticed by the next heartbeat.
  peer.next = peer.next + static_cast<std::uint64_t>(request.entries.size());
  Send(to, std::move(request));
}

void raft_node::AdvanceCommit() {
  std::vector<log_index> held;
  for (const member& member : log_.members()) {
    if (!member.voter) {
      continue;
    }
    const auto peer = peers_.find(member.id);
    if (member.id == self_) {
      held.push_back(durable_);
    } else {
      held.push_back(peer == peers_.end() ? log_index(0) : peer->second.match);
    }
  }
  if (held.empty()) {
    return;
  }
  std::sort(held.begin(), held.end(), std::greater<>());
  const log_index agreed = held[held.size() / 2];
  // Entries of earlier terms are committed only by one of this term.
  if (agreed > commit_ && agreed >= term_start_) {
    SetCommit(agreed);
    AnswerReads();
  }
}

void raft_node::SetCommit(log_index commit) {
  commit = std::min(commit, log_.last_index());
  while (commit_ < commit) {
    commit_ = commit_ + 1;
    output_.applied.emplace_back(log_.At(commit_));
  }
}

bool raft_node::RequestRead(read_id id, time_point now) {
  if (role_ != raft_role::kLeader) {
    return false;
  }
  // Answers to this round show that there was no other leader until then.
  Broadcast(now);
  reads_.push_back(
      {.id = id, .round = round_, .index = std::max(commit_, term_start_)});
  AnswerReads();
  return true;
}

void raft_node::AnswerReads() {
  std::erase_if(reads_, [this](const pending_read& read) {
    std::size_t answered = 0;
    for (const member& member : log_.members()) {
      const auto peer = peers_.find(member.id);
      const bool in_time =
          member.id == self_ ||
          (peer != peers_.end() && peer->second.acked_round >= read.round);
      answered += member.voter && in_time ? 1 : 0;
    }
    if (answered < Majority() || commit_ < read.index) {
      return false;
    }
    output_.reads.push_back({.id = read.id, .sure = true});
    return true;
  });
}

void raft_node::FailReads() {
  for (const pending_read& read : std::exchange(reads_, {})) {
    output_.reads.push_back({.id = read.id, .sure = false});
  }
}

bool raft_node::HasQuorum(time_point now) const {
  std::size_t heard = 0;
  for (const member& member : log_.members()) {
    if (!member.voter) {
      continue;
    }
    const auto peer = peers_.find(member.id);
    const bool recent = peer != peers_.end() &&
                        now - peer->second.last_ack < options_.min_election;
    heard += member.id == self_ || recent ? 1 : 0;
  }
  return heard >= Majority();
}

}  // namespace burdocklock::quorum
