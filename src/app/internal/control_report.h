// JSON status documents of a control host for operators.
#pragma once

#include <string>

#include "config/types/settings.h"
#include "control/control_node.h"

namespace burdocklock::app {

std::string DescribeControlStatus(const config::settings& settings,
                                  const control::control_node& node);
std::string DescribeRegisteredTargets(const control::control_node& node);
std::string DescribeLogMembers(const control::control_node& node);

}  // namespace burdocklock::app
