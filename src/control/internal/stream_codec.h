// Parts of messages about where streams began, as JSON for CBOR.
#pragma once

#include <vector>

#include <nlohmann/json.hpp>

#include "framework/types/ids.h"
#include "streams/types/stream_origin.h"

namespace burdocklock::control {

nlohmann::json EncodeKeys(const std::vector<stream_key>& keys);
/// Throws what nlohmann::json throws, or std::out_of_range, if these are not
/// keys or too many.
std::vector<stream_key> DecodeKeys(const nlohmann::json& j);

/// Grouped by origin, whose names are sent once. Time remaining is rounded up
/// to seconds.
nlohmann::json EncodeRecords(
    const std::vector<streams::stream_record>& records);
/// Throws as `DecodeKeys` does, also if a name is too long.
std::vector<streams::stream_record> DecodeRecords(const nlohmann::json& groups);

}  // namespace burdocklock::control
