// Port: storage and reporting for a control node.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "admission/share_margin.h"
#include "control/i_control_commands.h"
#include "control/target_registry.h"
#include "control/types/message.h"
#include "crashes/types/evidence.h"
#include "framework/types/error.h"
#include "quorum/raft_node.h"
#include "rollouts/types/rollout.h"
#include "rollouts/types/rollout_record.h"

namespace burdocklock::control {

class i_control_port {
 public:
  virtual ~i_control_port() = default;

  /// Starts to write the records; `control_node::OnDurable` is called once they
  /// are durable.
  virtual void Store(quorum::batch_number batch,
                     std::vector<quorum::storage_record> records) = 0;

  /// Replaces the evidence that outlasts this process. Must not wait for the
  /// disk.
  virtual void StoreEvidence(crashes::evidence known) = 0;

  // Notifications for logging and metrics.
  virtual void OnRole(quorum::raft_role role,
                      quorum::term_number term,
                      const quorum::member_id& leader) = 0;
  virtual void OnMembers(const quorum::membership& members) = 0;
  virtual void OnVote(const quorum::vote_note& vote) = 0;
  virtual void OnElection(const quorum::election_note& election) = 0;
  virtual void OnJoin(const quorum::join_note& join) = 0;
  virtual void OnState(state_revision revision,
                       const state_contents& contents) = 0;
  virtual void OnTarget(const targets::announcement& announcement,
                        registry_result result) = 0;
  /// Two origins were told for a stream, a fault; it is unknown from now on.
  virtual void OnStreamContradiction(
      const streams::stream_record& contradicting) = 0;
  /// Records of streams were dropped before their time since the last call.
  virtual void OnStreamsDropped(std::uint64_t count) = 0;
  /// At the leader, once a second while routers report: who got least of its
  /// share.
  virtual void OnLeastShare(const admission::least_share& least) = 0;
  /// At the leader: the part has changed, or the end is decided.
  virtual void OnRollout(const rollouts::rollout_order& order,
                         const rollouts::rollout_step& step) = 0;
  virtual void OnError(const error& problem) = 0;
};

}  // namespace burdocklock::control
