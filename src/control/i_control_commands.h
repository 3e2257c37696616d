// Port: what operators and targets ask of a control host.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/endpoint.h"
#include "framework/types/ids.h"
#include "targets/types/announcement.h"

namespace burdocklock::control {

enum class command_status {
  kDone,
  /// Another host decides; `leader` says which if known.
  kNotLeader,
  /// It may or may not take effect; to be sent again.
  kUnknown,
  /// There is no such data centre.
  kNoSuchPlace,
};

constexpr const char* ToString(command_status status) {
  switch (status) {
    case command_status::kDone:
      return "done";
    case command_status::kNotLeader:
      return "not_leader";
    case command_status::kUnknown:
      return "unknown";
    case command_status::kNoSuchPlace:
      return "no_such_place";
  }
  return "unknown";
}

struct command_outcome {
  command_status status = command_status::kUnknown;
  /// Where commands are taken instead.
  std::optional<endpoint> leader;
  /// Of a read that is done: the configuration as it was given; empty if there
  /// is none.
  std::string document;
};

using command_done = std::function<void(const command_outcome& outcome)>;

/// All members are called on the control thread and do not block; `done` is
/// called once, on the same thread, perhaps before the call returns.
class i_control_commands {
 public:
  virtual ~i_control_commands() = default;

  /// Puts a valid configuration in force unless a higher version is.
  virtual void ReplaceConfiguration(std::uint64_t version,
                                    std::string document,
                                    command_done done) = 0;
  /// Reads the newest configuration.
  virtual void ReadConfiguration(command_done done) = 0;
  /// Takes a data centre out of service, or back in.
  virtual void SetOutage(const data_centre_id& data_centre,
                         bool out,
                         command_done done) = 0;
  /// A target has announced itself.
  virtual void Announce(const targets::announcement& announcement) = 0;
  /// A target has said that it goes; `life` if it has said which one.
  virtual void Withdraw(const target_id& target,
                        std::optional<incarnation> life) = 0;
};

}  // namespace burdocklock::control
