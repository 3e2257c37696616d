// Boundaries of server-sent events.
#pragma once

#include <string_view>

namespace burdocklock::gateway {

/// End of the first event in `text`, past its blank line; npos if incomplete.
/// The search begins at `from`.
std::size_t EventEnd(std::string_view text, std::size_t from);

}  // namespace burdocklock::gateway
