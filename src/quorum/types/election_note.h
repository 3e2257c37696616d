// How a member's attempt to become leader ended.
#pragma once

#include <cstddef>

#include "quorum/types/log_entry.h"

namespace burdocklock::quorum {

enum class election_result {
  kWon,
  /// Another leader or a later term was heard first.
  kOvertaken,
  /// This host is a learner or no member, and cannot become leader.
  kNotVoter,
  /// Less than a majority of the voters responded in time.
  kFewResponses,
  /// A majority responded, but too many refused their vote.
  kRefused,
  /// This member's own vote was not on disk in time.
  kOwnVoteNotStored,
  /// Voters that would vote for this member did not do so in time.
  kVotesLate,
};

constexpr const char* ToString(election_result result) {
  switch (result) {
    case election_result::kWon:
      return "won";
    case election_result::kOvertaken:
      return "overtaken";
    case election_result::kNotVoter:
      return "not_voter";
    case election_result::kFewResponses:
      return "few_responses";
    case election_result::kRefused:
      return "refused";
    case election_result::kOwnVoteNotStored:
      return "own_vote_not_stored";
    case election_result::kVotesLate:
      return "votes_late";
  }
  return "won";
}

struct election_note {
  election_result result = election_result::kWon;
  /// The term that this member wanted to lead.
  term_number term;
  std::size_t voters = 0;
  /// Voters that responded, and this member.
  std::size_t responses = 0;
  /// In an election votes, before it voters that would vote for this member.
  std::size_t votes = 0;
};

}  // namespace burdocklock::quorum
