// The operators' commands on their way to the control node: each is given its
// time, and its outcome is logged and measured.
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
  /// `after` is called after each command, as it may have moved the node's next
  /// deadline. All references must outlive this object.
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
  void Announce(const targets::announcement& announcement) override;
  void Withdraw(const target_id& target,
                std::optional<incarnation> life) override;

 private:
  // Measures how long the command called `name` takes to its outcome.
  control::command_done Measured(const std::string& name,
                                 control::command_done done);
  // Logs the outcome beside what `record` says, and measures as above.
  control::command_done Logged(const std::string& name,
                               log_record record,
                               control::command_done done);

  control::control_node& node_;
  i_logger& logger_;
  metric_registry& metrics_;
  std::function<void()> after_;
};

}  // namespace burdocklock::app
