// State set by operators: the state machine of the replicated log.
#pragma once

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "control/types/message.h"
#include "framework/types/error.h"
#include "rollouts/rollout_history.h"
#include "rollouts/types/rollout_record.h"

namespace burdocklock::control {

/// Takes effect only if the version is higher than the current one.
struct set_configuration {
  std::uint64_t version = 0;
  std::string document;
};

/// Takes a data centre out of service, or back in.
struct set_outage {
  data_centre_id data_centre;
  bool out = false;
};

/// Without effect while another rollout of the pool is in progress, and for an
/// order that is its latest one already, in whatever phase.
struct begin_rollout {
  rollouts::rollout_order order;
};

/// Notes the time since the order, for a later leader, and the steps since the
/// last note. Of no concern to routers, so the revision stays.
struct note_rollout {
  rollouts::rollout_order order;
  std::chrono::milliseconds elapsed{0};
  std::vector<rollouts::rollout_step> steps = {};
};

/// Without effect unless this order is in progress.
struct end_rollout {
  rollouts::rollout_order order;
  rollouts::rollout_phase phase = rollouts::rollout_phase::kReverted;
  std::set<software_version> retired;
  /// Since the last note; the last one says why the rollout ended.
  std::vector<rollouts::rollout_step> steps = {};
};

using operator_command = std::variant<set_configuration,
                                      set_outage,
                                      begin_rollout,
                                      note_rollout,
                                      end_rollout>;

std::string EncodeCommand(const operator_command& command);

/// Deterministic: the same commands in the same order yield the same state.
///
/// Invariants: the version never decreases, and the document of a version never
/// changes; a rollout that has ended stays as it ended until another order.
/// The history of rollouts is not the same at members that ran earlier
/// software, which skips steps.
class operator_state {
 public:
  /// Applies the command at this log position; fails if it can't be decoded.
  result<void> Apply(state_revision position, const std::string& command);
  /// Replaces the whole state by an encoded one.
  result<void> Restore(const std::string& encoded);
  [[nodiscard]] std::string Encode() const;

  [[nodiscard]] const state_contents& contents() const { return contents_; }
  /// Not for routers.
  [[nodiscard]] const rollouts::rollout_history& history() const {
    return history_;
  }
  /// Log position of the last command that changed the state.
  [[nodiscard]] state_revision revision() const { return revision_; }

 private:
  state_contents contents_;
  rollouts::rollout_history history_;
  state_revision revision_;
};

}  // namespace burdocklock::control
