// The load of a router, or of the others, as JSON for CBOR.
#pragma once

#include <cstdint>

#include <nlohmann/json.hpp>

#include "admission/types/fleet_load.h"
#include "framework/codec/entry_list.h"

namespace burdocklock::admission {

/// Without the calls, which come later in messages.
void to_json(nlohmann::json& j, const fleet_load& l);
/// Entries that are malformed or absurd are left out. Throws what
/// nlohmann::json throws if this is not a load.
fleet_load ReadLoad(const nlohmann::json& j, dropped_entries& dropped);

/// Requests a second, in whole tenths.
std::int64_t ToSteps(double per_second);
/// Requests a second. Throws if this is not a rate.
double ReadDemand(const nlohmann::json& j);

}  // namespace burdocklock::admission
