// Identifiers shared by all modules.
#pragma once

#include <cstdint>
#include <string>

#include "framework/types/strong_type.h"

namespace burdocklock {

/// Customer name in the sheet.
using customer_id = strong_type<struct customer_id_tag, std::string>;
/// Target id, chosen by the target and sent in its announcements.
using target_id = strong_type<struct target_id_tag, std::string>;
/// Data centre name in the sheet.
using data_centre_id = strong_type<struct data_centre_id_tag, std::string>;
/// Region name in the sheet.
using region_id = strong_type<struct region_id_tag, std::string>;
/// Daemon name in its settings.
using daemon_id = strong_type<struct daemon_id_tag, std::string>;
/// A model or service whose targets are interchangeable.
using pool_id = strong_type<struct pool_id_tag, std::string>;

/// Version of a target's software, as the target names it; empty if it names
/// none.
using software_version = strong_type<struct software_version_tag, std::string>;
/// Identifies a stream over all connections on which its caller receives it.
using stream_key = strong_type<struct stream_key_tag, std::uint64_t>;

/// Identifies one run of a process; increases with every restart.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;
/// Request sequence number within one daemon incarnation.
using request_seq = strong_type<struct request_seq_tag, std::uint64_t>;
/// Hash of what a request asks for and of its customer; the same each time the
/// request is repeated whole.
using request_fingerprint =
    strong_type<struct request_fingerprint_tag, std::uint64_t>;
/// Dispatch attempt number within one request, starting at 1.
using attempt_number = strong_type<struct attempt_number_tag, std::uint32_t>;
/// Refusal sequence number within one daemon incarnation, without gaps.
using refusal_seq = strong_type<struct refusal_seq_tag, std::uint64_t>;

}  // namespace burdocklock
