// Messages between control hosts, and between them and routers.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "admission/types/fleet_load.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "quorum/types/quorum_message.h"
#include "targets/types/announcement.h"

namespace burdocklock::control {

/// Position in the replicated log of the last change to the operators' state.
using state_revision = strong_type<struct state_revision_tag, std::uint64_t>;

/// What operators have decided.
struct state_contents {
  /// 0 if there is no configuration yet.
  std::uint64_t version = 0;
  /// The configuration as it was given.
  std::string document;
  std::set<data_centre_id> out;

  friend bool operator==(const state_contents&,
                         const state_contents&) = default;
};

/// First message on a link, repeated as a heartbeat and when `held` changes.
struct introduction {
  daemon_id daemon;
  /// Of a control host.
  std::optional<quorum::member> member;
  /// Of a router: what it works with.
  state_revision applied_revision;
};

/// Answers a router's introduction; also sent when the state has changed.
struct state_update {
  state_revision revision;
  /// The sender is certain that it has missed nothing.
  bool current = false;
  /// The sender collects the routers' load.
  bool is_leader = false;
  /// Absent if the router holds this revision.
  std::optional<state_contents> contents;
  std::vector<endpoint> control_hosts;
  std::vector<daemon_id> routers;
};

struct aged_announcement {
  targets::announcement announced;
  /// Milliseconds since it was heard.
  std::uint64_t age_ms = 0;
};

struct target_update {
  std::vector<aged_announcement> targets;
};

struct quorum_envelope {
  quorum::member_id from;
  /// Empty for whoever listens there.
  quorum::member_id to;
  quorum::quorum_message contents;
};

/// What a router has sent to targets and is asked for.
struct load_report {
  daemon_id daemon;
  admission::fleet_load load;
};

/// Answers a report: the sum over all other routers.
struct load_summary {
  admission::fleet_load others;
};

using message = std::variant<introduction,
                             state_update,
                             target_update,
                             quorum_envelope,
                             load_report,
                             load_summary>;

}  // namespace burdocklock::control
