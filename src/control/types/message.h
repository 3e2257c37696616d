// Messages between control hosts, and between them and routers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "admission/types/fleet_load.h"
#include "crashes/types/evidence.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "quorum/types/quorum_message.h"
#include "rollouts/types/outcomes.h"
#include "rollouts/types/rollout.h"
#include "streams/types/stream_origin.h"
#include "targets/types/announcement.h"

namespace burdocklock::control {

/// Log position of the last change to the operator state.
using state_revision = strong_type<struct state_revision_tag, std::uint64_t>;

/// State set by operators.
struct state_contents {
  /// 0 if there is no configuration yet.
  std::uint64_t version = 0;
  /// The configuration as it was submitted.
  std::string document;
  std::set<data_centre_id> out;
  /// The latest rollout of each pool.
  rollouts::rollout_map rollouts;

  friend bool operator==(const state_contents&,
                         const state_contents&) = default;
};

/// First message on a link; repeated as a heartbeat, and by routers at once
/// when `applied_revision` changes.
struct introduction {
  daemon_id daemon;
  /// Set for control hosts only.
  std::optional<quorum::member> member;
  /// For routers: the revision in use.
  state_revision applied_revision;
};

/// Reply to a router's introduction; also sent when the state has changed.
struct state_update {
  state_revision revision;
  /// The sender has confirmed that its state is the newest.
  bool current = false;
  /// The sender is the leader, which collects load reports.
  bool is_leader = false;
  /// Absent if the router has this revision already, or if the contents were
  /// sent to it or are not due yet.
  std::optional<state_contents> contents;
  std::vector<endpoint> control_hosts;
  /// Empty if the sender may not know all of them yet.
  std::vector<daemon_id> routers;
};

struct aged_announcement {
  targets::announcement announced;
  /// Milliseconds since the announcement was received.
  std::uint64_t age_ms = 0;
};

struct target_update {
  std::vector<aged_announcement> targets;
};

struct quorum_envelope {
  quorum::member_id from;
  /// Empty if meant for whichever member receives it, as in join requests.
  quorum::member_id to;
  quorum::quorum_message contents;
};

/// Load that a router has placed on targets, and the demand of its customers.
struct load_report {
  daemon_id daemon;
  admission::fleet_load load;
  /// What the versions of pools in rollout answered, since the order.
  std::vector<rollouts::rollout_outcomes> outcomes = {};
};

/// From the leader to routers while a rollout is in progress: the parts of the
/// new versions, which lapse soon.
struct rollout_update {
  std::vector<rollouts::rollout_part> parts;
};

/// Reply to a load report: the sum over all other routers.
struct load_summary {
  admission::fleet_load others;
};

/// Evidence about prompt parts that end targets: from routers, and merged from
/// control hosts.
struct evidence_update {
  crashes::evidence contents;
};

/// Streams or keys in one message at most.
inline constexpr std::size_t kMaxStreamsPerMessage = 1024;

/// From routers: where streams began. Sent again on every new link.
struct stream_update {
  std::vector<streams::stream_record> records;
};

/// From routers: where did these streams begin?
struct stream_query {
  std::vector<stream_key> keys;
};

/// Reply to a query.
struct stream_answer {
  std::vector<streams::stream_record> known;
  /// The sender does not know, which does not mean that nobody does.
  std::vector<stream_key> unknown;
};

/// A message of a kind that only later software knows; ignored.
struct unrecognised_message {
  std::string kind;
};

using message = std::variant<introduction,
                             state_update,
                             target_update,
                             quorum_envelope,
                             load_report,
                             load_summary,
                             evidence_update,
                             stream_update,
                             stream_query,
                             stream_answer,
                             rollout_update,
                             unrecognised_message>;

}  // namespace burdocklock::control
