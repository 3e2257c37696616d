// What operators read of rollouts, as JSON.
#pragma once

#include <string>

#include "app/command_call.h"
#include "rollouts/types/rollout.h"

namespace burdocklock::route_interface {

std::string DescribeRollout(const rollouts::rollout& known);
/// Routes that the configuration does not have any more are given as numbers.
std::string DescribeHistory(const app::rollout_history_view& view);

}  // namespace burdocklock::route_interface
