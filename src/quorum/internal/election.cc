// Elections of raft_node.
#include <algorithm>
#include <utility>

#include "quorum/raft_node.h"

namespace burdocklock::quorum {

namespace {

// After a split vote a candidate tries again, once, after a random time between
// these two. Until the first, votes for another candidate may be on their way.
constexpr std::chrono::milliseconds kMinSplitDelay{150};
constexpr std::chrono::milliseconds kMaxSplitDelay{450};
// Less than half of the shortest election timeout, so that one message may be
// late.
constexpr std::chrono::milliseconds kCandidacyInterval{300};
// Voters stand at random times until this after a candidate has given up.
constexpr std::chrono::milliseconds kMaxTurnDelay{750};
constexpr std::uint64_t kMaxPatienceDoublings = 3;

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

election_result raft_node::Obstacle(time_point now) const {
  if (!in_pre_vote_ && !votes_.contains(self_)) {
    return election_result::kOwnVoteNotStored;
  }
  const bool is_alone = !in_pre_vote_ && !HearsMajority(now);
  if (is_alone || CountVoters(responders_) + 1 < Majority()) {
    return election_result::kFewResponses;
  }
  const bool is_refused =
      in_pre_vote_ || VoterCount() - CountVoters(refusers_) < Majority();
  return is_refused ? election_result::kRefused : election_result::kVotesLate;
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

bool raft_node::GiveUpElection(time_point now) {
  next_candidacy_ = kNever;
  if (awaited_ == self_) {
    awaited_until_ = now;
  }
  if (role_ != raft_role::kCandidate) {
    return true;
  }
  const election_result obstacle = Obstacle(now);
  EndElection(obstacle);
  role_ = raft_role::kFollower;
  if (obstacle != election_result::kOwnVoteNotStored) {
    return true;
  }
  // Its next vote would wait for the same disk.
  vote_request request = MakeVoteRequest(false);
  request.pre_vote = true;
  request.standing = candidacy::kGivesUp;
  SendToOtherVoters(request);
  return false;
}

void raft_node::Await(const member_id& candidate, time_point now) {
  if (role_ == raft_role::kCandidate) {
    BecomeFollower(term_, now);
  }
  SetLeader(member_id(), now);
  awaited_ = candidate;
  awaited_until_ = now + options_.min_election_timeout;
  ResetElectionTimer(now);
}

int raft_node::Patience() const {
  const std::uint64_t unled = term_.value() - last_led_term_.value();
  return 1 << std::min(unled == 0 ? 0 : unled - 1, kMaxPatienceDoublings);
}

void raft_node::AnnounceCandidacy(time_point now) {
  next_candidacy_ = now + kCandidacyInterval;
  vote_request request = MakeVoteRequest(false);
  if (votes_.contains(self_)) {
    SendToOtherVoters(request);
  }
  // Answered at once, whatever the voters' disks do.
  request.pre_vote = true;
  request.standing = candidacy::kStands;
  SendToOtherVoters(request);
}

bool raft_node::HearsMajority(time_point now) const {
  std::set<member_id> heard{self_};
  for (const auto& [id, when] : last_response_) {
    if (now - when < options_.min_election_timeout) {
      heard.insert(id);
    }
  }
  return CountVoters(heard) >= Majority();
}

void raft_node::SendToOtherVoters(const vote_request& request) {
  for (const member& member : log_.members()) {
    if (member.voter && member.id != self_) {
      Send(member.id, request);
    }
  }
}

void raft_node::StandSoon(term_number after, time_point now) {
  // Or it would learn of the term by a refusal, and lose its turn.
  if (after > term_) {
    BecomeFollower(after, now);
  }
  awaited_until_ = now;
  const auto range =
      static_cast<std::uint32_t>((kMaxTurnDelay - kMinSplitDelay).count());
  election_deadline_ = std::min(
      election_deadline_,
      now + kMinSplitDelay + std::chrono::milliseconds(random_.Below(range)));
}

void raft_node::StartPreVote(time_point now) {
  ResetElectionTimer(now);
  if (!GiveUpElection(now)) {
    return;
  }
  if (!IsVoter(self_) || leaving_) {
    EndElection(election_result::kNotVoter);
    return;
  }
  if (own_vote_unstored_) {
    EndElection(election_result::kOwnVoteNotStored);
    return;
  }
  role_ = raft_role::kCandidate;
  in_pre_vote_ = true;
  votes_ = {self_};
  responders_.clear();
  SendToOtherVoters(MakeVoteRequest(true));
  CountVotes(now);
}

void raft_node::StartElection(time_point now) {
  ResetElectionTimer(now);
  in_pre_vote_ = false;
  term_ = term_number(term_.value() + 1);
  vote_ = self_;
  split_deadline_ = election_deadline_;
  election_deadline_ = now + (election_deadline_ - now) * Patience();
  awaited_ = self_;
  awaited_until_ = election_deadline_;
  // This member's own vote is counted once it is on disk.
  votes_.clear();
  refusers_.clear();
  AnnounceCandidacy(now);
  RecordVote();
  own_vote_recorded_ = true;
  own_vote_unstored_ = true;
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
  const bool only_asks = m.pre_vote && m.standing == candidacy::kAsks;
  if (only_asks ? m.term <= term_ : m.term < term_) {
    return vote_decision::kOldTerm;
  }
  if (m.pre_vote && awaited_ != from && now < awaited_until_) {
    return vote_decision::kOtherStands;
  }
  if (!m.pre_vote && m.term > term_) {
    BecomeFollower(m.term, now);
  }
  if (m.term == term_ && !vote_.value().empty() && vote_ != from) {
    return vote_decision::kVotedForOther;
  }
  return IsUpToDate(m) ? vote_decision::kGranted : vote_decision::kLogBehind;
}

void raft_node::Handle(const member_id& from,
                       const vote_request& m,
                       time_point now) {
  if (m.standing == candidacy::kGivesUp) {
    if (awaited_ == from && m.term >= term_ && !HasRecentLeaderContact(now)) {
      StandSoon(m.term, now);
    }
    return;
  }
  const bool stands = !m.pre_vote || m.standing == candidacy::kStands;
  const bool repeats = m.standing == candidacy::kStands ||
                       (!m.pre_vote && m.term == term_ && vote_ == from);
  const vote_decision decision = DecideVote(from, m, now);
  const bool granted = decision == vote_decision::kGranted;
  if (!repeats) {
    output_.votes.push_back({.candidate = from,
                             .term = m.term,
                             .pre_vote = m.pre_vote,
                             .decision = decision});
  }
  if (granted && stands) {
    Await(from, now);
  } else if (awaited_ == from) {
    // It no longer stands, or cannot win.
    awaited_until_ = now;
  }
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
  last_response_[from] = now;
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
  if (role_ != raft_role::kCandidate) {
    return;
  }
  // Voters that did not respond to the pre-vote are taken to be down.
  std::size_t possible = 1;
  for (const member_id& id : responders_) {
    possible += IsVoter(id) && !refusers_.contains(id) ? 1 : 0;
  }
  if (possible >= Majority()) {
    return;
  }
  next_candidacy_ = kNever;
  awaited_until_ = now;
  const auto range =
      static_cast<std::uint32_t>((kMaxSplitDelay - kMinSplitDelay).count());
  const time_point retry =
      std::exchange(split_retried_, true)
          ? split_deadline_
          : now + kMinSplitDelay +
                std::chrono::milliseconds(random_.Below(range));
  election_deadline_ = std::min(election_deadline_, retry);
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
  next_candidacy_ = kNever;
  if (awaited_ == self_) {
    awaited_until_ = now;
  }
  peers_.clear();
  next_heartbeat_ = kNever;
  next_upkeep_ = kNever;
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
  next_candidacy_ = kNever;
  last_led_term_ = term_;
  role_ = raft_role::kLeader;
  SetLeader(self_, now);
  split_retried_ = false;
  peers_.clear();
  UpdatePeers(now);
  elected_ = now;
  next_upkeep_ = now + options_.heartbeat_interval;
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
