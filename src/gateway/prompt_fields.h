// Parses the header fields that describe a prompt.
#pragma once

#include <optional>
#include <string_view>

#include "targets/types/prompt.h"

namespace burdocklock::gateway {

/// `tokens` is "INPUT,MAX_OUTPUT" in decimal; `parts` is a comma-separated list
/// of "ID:TOKENS" with hexadecimal IDs. Returns nullopt if `tokens` is
/// malformed. `parts` is used up to the first malformed entry, since only the
/// prefix of a prompt can be shared. `estimate`, of the output tokens, is not
/// used if it is malformed.
std::optional<targets::prompt> ReadPromptFields(std::string_view tokens,
                                                std::string_view parts,
                                                std::string_view estimate = {});

}  // namespace burdocklock::gateway
