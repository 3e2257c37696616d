// Evidence of requests that end targets, as JSON for CBOR.
#pragma once

#include <nlohmann/json.hpp>

#include "crashes/types/evidence.h"
#include "framework/codec/entry_list.h"

namespace burdocklock::crashes {

void to_json(nlohmann::json& j, const evidence& e);
/// Entries that are malformed or absurd are left out. Throws what
/// nlohmann::json throws if this is no evidence.
evidence ReadEvidence(const nlohmann::json& j, dropped_entries& dropped);

}  // namespace burdocklock::crashes
