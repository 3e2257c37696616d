// Elections of raft_node.
#include <algorithm>

#include "quorum/raft_node.h"

namespace burdocklock::quorum {

namespace {

// After a split vote a candidate tries again, once, after a random time between
// these two. Until the first, votes for another candidate may be on their way.
constexpr std::chrono::milliseconds kMinSplitDelay{150};
constexpr std::chrono::milliseconds kMaxSplitDelay{450};

}  // namespace

void raft_node::ResetElectionTimer(time_point now) {
  const auto jitter_range_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          options_.max_election_timeout - options_.min_election_timeout)
          .count();
  election_deadline_ = now + options_.min_election_timeout +
                       std::chrono::milliseconds(random_.Below(
                           static_cast<std::uint32_t>(jitter_range_ms) + 1));
}

bool raft_node::HasRecentLeaderContact(time_point now) const {
  return !leader_.value().empty() &&
         now - last_leader_contact_ < options_.min_election_timeout;
}

bool raft_node::IsUpToDate(const vote_request& request) const {
  if (request.last_term != log_.last_term()) {
    return request.last_term > log_.last_term();
  }
  return request.last_index >= log_.last_index();
}

vote_request raft_node::MakeVoteRequest(bool pre_vote) const {
  return {.term = pre_vote ? term_number(term_.value() + 1) : term_,
          .last_index = log_.last_index(),
          .last_term = log_.last_term(),
          .pre_vote = pre_vote};
}

void raft_node::SetLeader(const member_id& leader, time_point now) {
  if (leader != leader_) {
    leader_ = leader;
    leader_since_ = now;
  }
}

std::size_t raft_node::CountVoters(const std::set<member_id>& ids) const {
  return static_cast<std::size_t>(
      std::count_if(ids.begin(), ids.end(),
                    [this](const member_id& id) { return IsVoter(id); }));
}

election_result raft_node::Obstacle() const {
  if (!in_pre_vote_ && !votes_.contains(self_)) {
    return election_result::kOwnVoteNotStored;
  }
  if (CountVoters(responders_) + 1 < Majority()) {
    return election_result::kFewResponses;
  }
  return in_pre_vote_ || !refusers_.empty() ? election_result::kRefused
                                            : election_result::kVotesLate;
}

void raft_node::EndElection(election_result result) {
  const bool repeats = result == election_result::kNotVoter && last_election_ &&
                       last_election_->result == result;
  const std::uint64_t next = term_.value() + 1;
  last_election_ = {.result = result,
                    .term = in_pre_vote_ ? term_number(next) : term_,
                    .voters = VoterCount(),
                    .responses = CountVoters(responders_) + 1,
                    .votes = CountVoters(votes_)};
  elections_lost_ = result == election_result::kWon ? 0 : elections_lost_ + 1;
  if (!repeats) {
    output_.elections.push_back(*last_election_);
  }
}

void raft_node::StartPreVote(time_point now) {
  ResetElectionTimer(now);
  if (role_ == raft_role::kCandidate) {
    EndElection(Obstacle());
  }
  if (!IsVoter(self_) || leaving_) {
    EndElection(election_result::kNotVoter);
    return;
  }
  role_ = raft_role::kCandidate;
  in_pre_vote_ = true;
  votes_ = {self_};
  responders_.clear();
  for (const member& member : log_.members()) {
    if (member.voter && member.id != self_) {
      Send(member.id, MakeVoteRequest(true));
    }
  }
  CountVotes(now);
}

void raft_node::StartElection(time_point now) {
  ResetElectionTimer(now);
  in_pre_vote_ = false;
  term_ = term_number(term_.value() + 1);
  vote_ = self_;
  // This member's own vote is counted once it is on disk.
  votes_.clear();
  refusers_.clear();
  RecordVote();
  own_vote_recorded_ = true;
  for (const member& member : log_.members()) {
    if (member.voter && member.id != self_) {
      SendWhenDurable(member.id, MakeVoteRequest(false));
    }
  }
}

void raft_node::CountVotes(time_point now) {
  if (CountVoters(votes_) < Majority()) {
    return;
  }
  if (in_pre_vote_) {
    StartElection(now);
  } else {
    BecomeLeader(now);
  }
}

vote_decision raft_node::DecideVote(const member_id& from,
                                    const vote_request& m,
                                    time_point now) {
  // Refuse to vote while there is a live leader, so that a member that cannot
  // hear the leader does not disrupt it.
  if (HasRecentLeaderContact(now) ||
      (role_ == raft_role::kLeader && HasQuorum(now))) {
    return vote_decision::kLeaderPresent;
  }
  if (m.pre_vote ? m.term <= term_ : m.term < term_) {
    return vote_decision::kOldTerm;
  }
  if (!m.pre_vote) {
    if (m.term > term_) {
      BecomeFollower(m.term, now);
    }
    if (!vote_.value().empty() && vote_ != from) {
      return vote_decision::kVotedForOther;
    }
  }
  return IsUpToDate(m) ? vote_decision::kGranted : vote_decision::kLogBehind;
}

void raft_node::Handle(const member_id& from,
                       const vote_request& m,
                       time_point now) {
  const vote_decision decision = DecideVote(from, m, now);
  const bool granted = decision == vote_decision::kGranted;
  output_.votes.push_back({.candidate = from,
                           .term = m.term,
                           .pre_vote = m.pre_vote,
                           .decision = decision});
  if (!granted || m.pre_vote) {
    Send(from, vote_response{.term = granted ? m.term : term_,
                             .granted = granted,
                             .pre_vote = m.pre_vote});
    return;
  }
  if (vote_ != from) {
    vote_ = from;
    RecordVote();
  }
  ResetElectionTimer(now);
  SendWhenDurable(from, vote_response{.term = term_, .granted = true});
}

void raft_node::Handle(const member_id& from,
                       const vote_response& m,
                       time_point now) {
  if (!m.granted && m.term > term_) {
    BecomeFollower(m.term, now);
    return;
  }
  responders_.insert(from);
  if (!m.granted && !m.pre_vote && m.term == term_ && !in_pre_vote_) {
    refusers_.insert(from);
    RetryIfSplit(now);
  }
  if (role_ != raft_role::kCandidate || !m.granted ||
      m.pre_vote != in_pre_vote_) {
    return;
  }
  const term_number expected_term =
      in_pre_vote_ ? term_number(term_.value() + 1) : term_;
  if (m.term != expected_term) {
    return;
  }
  votes_.insert(from);
  CountVotes(now);
}

void raft_node::RetryIfSplit(time_point now) {
  if (role_ != raft_role::kCandidate || split_retried_) {
    return;
  }
  // Voters that did not respond to the pre-vote are taken to be down.
  std::size_t possible = 1;
  for (const member_id& id : responders_) {
    possible += IsVoter(id) && !refusers_.contains(id) ? 1 : 0;
  }
  if (possible < Majority()) {
    split_retried_ = true;
    const auto range =
        static_cast<std::uint32_t>((kMaxSplitDelay - kMinSplitDelay).count());
    election_deadline_ = std::min(
        election_deadline_,
        now + kMinSplitDelay + std::chrono::milliseconds(random_.Below(range)));
  }
}

void raft_node::BecomeFollower(term_number term, time_point now) {
  if (role_ == raft_role::kLeader) {
    FailReads();
    SetLeader(member_id(), now);
  } else if (role_ == raft_role::kCandidate) {
    EndElection(election_result::kOvertaken);
  }
  role_ = raft_role::kFollower;
  in_pre_vote_ = false;
  peers_.clear();
  next_heartbeat_ = kNever;
  if (term > term_) {
    term_ = term;
    vote_ = member_id();
    SetLeader(member_id(), now);
    RecordVote();
  }
  ResetElectionTimer(now);
}

void raft_node::BecomeLeader(time_point now) {
  EndElection(election_result::kWon);
  role_ = raft_role::kLeader;
  SetLeader(self_, now);
  split_retried_ = false;
  peers_.clear();
  UpdatePeers(now);
  elected_ = now;
  // A member that is lost was not heard by this one during the election either.
  for (auto& [id, peer] : peers_) {
    if (!responders_.contains(id)) {
      peer.last_ack = std::min(now, last_leader_contact_);
    }
  }
  term_start_index_ = log_.last_index() + 1;
  AppendAsLeader({.kind = entry_kind::kNoOp}, now);
}

}  // namespace burdocklock::quorum
