// What a control host knows about who leads, in log lines, answers and status
// documents.
#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "control/types/leadership.h"
#include "framework/logging/i_logger.h"

namespace burdocklock::app {

void AddLeadership(const control::leadership& known, log_record& record);
void AddLeadership(const control::leadership& known,
                   nlohmann::ordered_json& document);
/// One sentence for a caller whose command was not done.
std::string DescribeUnconfirmed(const control::leadership& known);

}  // namespace burdocklock::app
