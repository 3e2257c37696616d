// Boundaries of server-sent events.
#pragma once

#include <string_view>

namespace burdocklock::gateway {

/// Offset just past the blank line that ends the first event in `text`; npos if
/// the event is incomplete. The search starts at `from`.
std::size_t FindEventEnd(std::string_view text, std::size_t from);

}  // namespace burdocklock::gateway
