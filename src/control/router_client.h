// Router side of the control protocol: links to control hosts and the state
// received from them.
#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

#include "control/i_link_port.h"
#include "control/i_router_view.h"
#include "control/link_set.h"
#include "control/stream_client.h"
#include "control/types/message.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "streams/types/stream_origin.h"

namespace burdocklock::control {

struct router_client_options {
  daemon_id daemon;
  /// Control hosts to connect to besides those learned from state updates.
  std::vector<endpoint> seeds;
  link_options links;
  /// A router without a state waits this long after its start before it applies
  /// one that no control host has confirmed as the newest.
  duration unconfirmed_state_delay = std::chrono::seconds(2);
};

/// Deterministic state machine over its ports.
///
/// Invariant: the revisions passed to the view never decrease.
class router_client {
 public:
  router_client(router_client_options options,
                i_link_port& links,
                i_router_view& view,
                time_point now);

  void OnTick(time_point now);
  [[nodiscard]] time_point NextDeadline() const {
    return std::min(next_heartbeat_, streams_.NextDeadline());
  }
  void OnLinkUp(link_id link, time_point now);
  void OnLinkDown(link_id link, time_point now);
  void OnMessage(link_id link, const message& message, time_point now);
  void SetSeeds(std::vector<endpoint> seeds, time_point now);

  /// Sends this router's load to the collecting control host; its answer
  /// arrives through `OnOthersLoad`. With it goes what versions in rollout
  /// answered.
  void ReportLoad(const admission::fleet_load& load,
                  std::vector<rollouts::rollout_outcomes> outcomes = {});
  /// Sends new evidence to all control hosts. Hosts that are not reached now
  /// receive it with the next link.
  void SendEvidence(const crashes::evidence& news);
  /// Tells control hosts where a stream of this router began. Must be called
  /// again if its caller may take it up longer than told.
  void RecordStream(const streams::stream_record& record, time_point now) {
    streams_.Record(record, now);
  }
  /// Asks where a stream began, this router's own records first. The answer
  /// arrives through `OnStreamOrigin`, at the next tick at the earliest.
  void AskStreamOrigin(stream_key key, time_point now) {
    streams_.Ask(key, now);
  }
  [[nodiscard]] state_revision applied_revision() const {
    return applied_revision_;
  }
  [[nodiscard]] bool InContact(time_point now) const {
    return links_.AnyActive(now);
  }

 private:
  struct candidate {
    state_revision revision;
    state_contents contents;
    time_point since;
  };

  void SendInPieces(const std::vector<link_id>& links,
                    crashes::evidence evidence);

  void Handle(const introduction& m, time_point now);
  void Handle(const state_update& m, time_point now);
  void Handle(const target_update& m, time_point now);
  void Handle(const quorum_envelope& m, time_point now);
  void Handle(const load_report& m, time_point now);
  void Handle(const load_summary& m, time_point now);
  void Handle(const evidence_update& m, time_point now);
  void Handle(const stream_update& m, time_point now);
  void Handle(const stream_query& m, time_point now);
  void Handle(const stream_answer& m, time_point now);
  void Handle(const rollout_update& m, time_point now);
  void Handle(const unrecognised_message& m, time_point now);
  void LearnControlHosts(const state_update& m, time_point now);
  void ApplyState(state_revision revision,
                  const state_contents& contents,
                  bool current);
  void SendIntroductions();
  void UpdateLinks(time_point now);
  void UpdateContact(time_point now);

  router_client_options options_;
  i_link_port& port_;
  i_router_view& view_;
  link_set links_;
  stream_client streams_;
  time_point started_;
  time_point next_heartbeat_;
  state_revision applied_revision_;
  /// Link to the control host that collects load reports, the leader.
  std::optional<link_id> collector_;
  /// Newest received state that has not been applied yet, usually because the
  /// sender could not confirm that it is current.
  std::optional<candidate> candidate_;
  /// Named by the last sender that was current; before the first of these, by
  /// any.
  std::set<endpoint> control_hosts_;
  bool hosts_confirmed_ = false;
  std::vector<daemon_id> routers_;
  bool in_contact_ = false;
};

}  // namespace burdocklock::control
