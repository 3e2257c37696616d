// Forwards commands to the control node: sets the node's time, logs the outcome
// and records the latency.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "control/control_node.h"
#include "control/i_control_commands.h"
#include "framework/logging/i_logger.h"
#include "framework/metrics/metric_registry.h"

namespace burdocklock::app {

class timed_commands : public control::i_control_commands {
 public:
  /// `after` is called after each command, because the command may have changed
  /// the node's next deadline. All references must outlive this object.
  timed_commands(control::control_node& node,
                 i_logger& logger,
                 metric_registry& metrics,
                 std::function<void()> after);

  // i_control_commands
  void ReplaceConfiguration(std::uint64_t version,
                            std::string document,
                            control::command_done done) override;
  void ReadConfiguration(control::command_done done) override;
  void SetOutage(const data_centre_id& data_centre,
                 bool out,
                 control::command_done done) override;
  void BeginRollout(const rollouts::rollout_order& order,
                    control::command_done done) override;
  void ReadRollout(const pool_id& pool, control::command_done done) override;
  void Announce(const targets::announcement& announcement) override;
  void Withdraw(const target_id& target,
                std::optional<incarnation> life) override;

 private:
  // Wraps `done` to record the latency of the command `name`.
  control::command_done WithLatency(const std::string& name,
                                    control::command_done done);
  // Wraps `done` to add the outcome to `record`, log it and record the latency.
  control::command_done WithOutcomeLog(const std::string& name,
                                       log_record record,
                                       control::command_done done);

  // Likewise, but logs only outcomes that are neither done nor a redirection.
  control::command_done WithFailureLog(const std::string& name,
                                       control::command_done done);

  control::control_node& node_;
  i_logger& logger_;
  metric_registry& metrics_;
  std::function<void()> after_command_;
};

}  // namespace burdocklock::app
