// Port: requests of operators and targets to a control host.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/types/leadership.h"
#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "rollouts/types/rollout.h"
#include "rollouts/types/rollout_record.h"
#include "targets/types/announcement.h"

namespace burdocklock::control {

enum class command_status {
  kDone,
  /// This host is not the leader; `leader` is set if known.
  kNotLeader,
  /// The command may or may not take effect; the caller should retry.
  kUnknown,
  /// The data centre is not configured.
  kUnknownDataCentre,
  /// Another rollout of the pool is in progress.
  kConflict,
  /// The settings of this host allow no rollouts.
  kNotEnabled,
};

constexpr const char* ToString(command_status status) {
  switch (status) {
    case command_status::kDone:
      return "done";
    case command_status::kNotLeader:
      return "not_leader";
    case command_status::kUnknown:
      return "unknown";
    case command_status::kUnknownDataCentre:
      return "no_such_place";
    case command_status::kConflict:
      return "conflict";
    case command_status::kNotEnabled:
      return "not_enabled";
  }
  return "unknown";
}

struct command_outcome {
  command_status status = command_status::kUnknown;
  /// Command endpoint of the leader.
  std::optional<endpoint> leader;
  /// After a successful read: the configuration as it was submitted; empty if
  /// there is none.
  std::string document;
  /// After a successful read of a rollout; absent if the pool had none.
  std::optional<rollouts::rollout> rollout = std::nullopt;
  /// Likewise: how the pool's latest rollouts went, oldest first.
  std::vector<rollouts::rollout_record> rollout_history = {};
  /// What the host knew of the leader if it is not known whether the command
  /// was done, or this host does not lead.
  std::optional<leadership> led_by = std::nullopt;
};

using command_done = std::function<void(const command_outcome& outcome)>;

/// All members are called on the control thread and do not block; `done` is
/// called once, on the same thread, perhaps before the call returns.
class i_control_commands {
 public:
  virtual ~i_control_commands() = default;

  /// Replaces the configuration, which must be valid; has no effect if the
  /// version is not higher than the current one.
  virtual void ReplaceConfiguration(std::uint64_t version,
                                    std::string document,
                                    command_done done) = 0;
  /// Linearizable read of the configuration.
  virtual void ReadConfiguration(command_done done) = 0;
  /// Takes a data centre out of service, or back in.
  virtual void SetOutage(const data_centre_id& data_centre,
                         bool out,
                         command_done done) = 0;
  /// Begins a rollout; one that is the pool's latest already stays as it is.
  virtual void BeginRollout(const rollouts::rollout_order& order,
                            command_done done) = 0;
  /// Linearizable read of the pool's latest rollout and those before.
  virtual void ReadRollout(const pool_id& pool, command_done done) = 0;
  /// Handles an announcement from a target.
  virtual void Announce(const targets::announcement& announcement) = 0;
  /// Handles the deregistration of a target; `life` is its incarnation, if
  /// given.
  virtual void Withdraw(const target_id& target,
                        std::optional<incarnation> life) = 0;
};

}  // namespace burdocklock::control
