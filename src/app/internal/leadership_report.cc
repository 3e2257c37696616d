// See the header.
#include "app/internal/leadership_report.h"

#include <nlohmann/json.hpp>

namespace burdocklock::app {

namespace {

// Calls `add(name, value)` for each field.
template <typename Add>
void ForEachField(const control::leadership& known, const Add& add) {
  add("role", std::string(ToString(known.role)));
  add("term", known.term.value());
  add("leader", known.leader.value());
  add("leader_for_ms", ToMilliseconds(known.known_for));
  add("voters", known.voters);
  add("voters_linked", known.voters_linked);
  if (known.voters_responding) {
    add("voters_responding", *known.voters_responding);
  }
  add("elections_lost", known.elections_lost);
  if (known.last_election) {
    add("last_election", std::string(ToString(known.last_election->result)));
    add("election_responses", known.last_election->responses);
    add("election_votes", known.last_election->votes);
  }
}

}  // namespace

void AddLeadership(const control::leadership& known, log_record& record) {
  ForEachField(known, [&](const char* name, const auto& value) {
    record.Add(name, value);
  });
}

void AddLeadership(const control::leadership& known,
                   nlohmann::ordered_json& document) {
  ForEachField(known, [&](const char* name, const auto& value) {
    document[name] = value;
  });
}

std::string DescribeUnconfirmed(const control::leadership& known) {
  if (!known.leader.value().empty()) {
    return known.role == quorum::raft_role::kLeader
               ? "this host leads, but the command was not confirmed in time"
               : "the leader has not confirmed the command in time";
  }
  return "no leader is known: " + std::to_string(known.voters_linked) + " of " +
         std::to_string(known.voters) + " voters are linked with this host";
}

}  // namespace burdocklock::app
