// Reads what callers say of a prompt in header fields.
#pragma once

#include <optional>
#include <string_view>

#include "targets/types/prompt.h"

namespace burdocklock::gateway {

/// `tokens` is "INPUT,MOST_OUTPUT" in decimal; `parts` lists "ID:TOKENS" with
/// commas, the ids in hexadecimal. nullopt if `tokens` cannot be read; of
/// `parts`, what comes before the first malformed entry is kept, since only
/// the beginning of a prompt can be shared.
std::optional<targets::prompt> ReadPromptFields(std::string_view tokens,
                                                std::string_view parts);

}  // namespace burdocklock::gateway
