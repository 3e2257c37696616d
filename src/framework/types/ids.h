// Identifiers shared by all modules.
#pragma once

#include <cstdint>
#include <string>

#include "framework/types/strong_type.h"

namespace burdocklock {

/// A customer as named in the sheet.
using customer_id = strong_type<struct customer_id_tag, std::string>;
/// A target as it names itself in its announcements.
using target_id = strong_type<struct target_id_tag, std::string>;
/// A data centre as named in the sheet.
using data_centre_id = strong_type<struct data_centre_id_tag, std::string>;
/// A region as named in the sheet.
using region_id = strong_type<struct region_id_tag, std::string>;
/// A daemon as named in its settings.
using daemon_id = strong_type<struct daemon_id_tag, std::string>;
/// A model or a plain service: the unit for which targets are interchangeable.
using pool_id = strong_type<struct pool_id_tag, std::string>;

/// Distinguishes successive lives of one process; a later life has the larger
/// value.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;
/// Sequence number of a request within one daemon incarnation.
using request_seq = strong_type<struct request_seq_tag, std::uint64_t>;
/// Number of a dispatch attempt within one request, counted from 1.
using attempt_number = strong_type<struct attempt_number_tag, std::uint32_t>;
/// Sequence number of a refusal within one daemon incarnation, without gaps.
using refusal_seq = strong_type<struct refusal_seq_tag, std::uint64_t>;

}  // namespace burdocklock
