// Commands of burdocklockctl about rollouts.
#pragma once

#include <string>

#include "ctl/command_line.h"

namespace burdocklock::ctl {

// They return the exit code.

int BeginRollout(const ctl_options& options,
                 const std::string& service,
                 const std::string& version,
                 double seconds);
int ShowRollout(const ctl_options& options, const std::string& service);
/// Each of the service's latest rollouts with its steps, oldest first.
int ShowRolloutHistory(const ctl_options& options, const std::string& service);

}  // namespace burdocklock::ctl
