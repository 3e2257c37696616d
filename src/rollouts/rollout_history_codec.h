// CBOR form of the steps and records of rollouts, in the log of control hosts.
#pragma once

#include <nlohmann/json.hpp>

#include "rollouts/rollout_history.h"
#include "rollouts/types/rollout_record.h"

namespace burdocklock::rollouts {

// Conversions from JSON throw std::exception if the value is malformed.

void to_json(nlohmann::json& j, const rollout_step& step);
void from_json(const nlohmann::json& j, rollout_step& step);
void to_json(nlohmann::json& j, const rollout_record& record);
void from_json(const nlohmann::json& j, rollout_record& record);
void to_json(nlohmann::json& j, const rollout_history& history);
void from_json(const nlohmann::json& j, rollout_history& history);

}  // namespace burdocklock::rollouts
