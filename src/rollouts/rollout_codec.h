// CBOR form of rollouts, in the log of control hosts and in messages.
#pragma once

#include <nlohmann/json.hpp>

#include "rollouts/types/outcomes.h"
#include "rollouts/types/rollout.h"

namespace burdocklock::rollouts {

// Conversions from JSON throw std::exception if the value is malformed.

void to_json(nlohmann::json& j, const rollout_order& order);
void from_json(const nlohmann::json& j, rollout_order& order);
void to_json(nlohmann::json& j, const rollout& value);
void from_json(const nlohmann::json& j, rollout& value);
void to_json(nlohmann::json& j, const rollout_outcomes& outcomes);
void from_json(const nlohmann::json& j, rollout_outcomes& outcomes);
void to_json(nlohmann::json& j, const rollout_part& part);
void from_json(const nlohmann::json& j, rollout_part& part);

/// Rollouts as a list, since the pool is part of each.
nlohmann::json EncodeRollouts(const rollout_map& rollouts);
rollout_map DecodeRollouts(const nlohmann::json& j);

}  // namespace burdocklock::rollouts
