// See the header.
#include "gateway/internal/event_text.h"

namespace burdocklock::gateway {

std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    if (at + 1 < text.size() && text[at + 1] == '\n') {
      return at + 2;
    }
    if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n') {
      return at + 3;
    }
  }
  return std::string_view::npos;
}

}  // namespace burdocklock::gateway
