// CBOR encoding of the messages between members and of the records on disk.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "framework/types/error.h"
#include "quorum/types/quorum_message.h"
#include "quorum/types/storage_record.h"

namespace burdocklock::quorum {

void to_json(nlohmann::json& j, const member& m);
void from_json(const nlohmann::json& j, member& m);

void to_json(nlohmann::json& j, const quorum_message& message);
void from_json(const nlohmann::json& j, quorum_message& message);

std::string EncodeRecord(const storage_record& record);
/// Fails with kMalformed if the bytes are not a valid record.
result<storage_record> DecodeRecord(std::string_view bytes);

}  // namespace burdocklock::quorum
