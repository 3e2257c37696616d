// See the header.
#include "gateway/numbered_event_scanner.h"

#include <charconv>

#include "gateway/internal/event_text.h"

namespace burdocklock::gateway {

namespace {

constexpr std::string_view kIdField = "id:";

// Sequence number from the event's `id` line; nullopt if there is none.
std::optional<std::uint64_t> EventNumber(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.starts_with(kIdField)) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    return ParseEventNumber(line);
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::uint64_t> ParseEventNumber(std::string_view id) {
  std::uint64_t number = 0;
  const auto [end, problem] =
      std::from_chars(id.data(), id.data() + id.size(), number);
  return problem == std::errc() && end == id.data() + id.size()
             ? std::optional(number)
             : std::nullopt;
}

std::string_view numbered_event_scanner::Feed(std::string_view bytes) {
  pending_.erase(0, released_);
  released_ = 0;
  new_events_ = 0;
  // The end of an event may span the old and the new bytes.
  std::size_t search_from = pending_.size() < 2 ? 0 : pending_.size() - 2;
  pending_.append(bytes);
  while (state_ == stream_state::kOpen) {
    const std::size_t end = FindEventEnd(pending_, search_from);
    if (end == std::string_view::npos) {
      break;
    }
    CheckEvent(std::string_view(pending_).substr(released_, end - released_));
    if (state_ == stream_state::kOpen) {
      released_ = end;
    }
    search_from = end;
  }
  if (pending_.size() - released_ > kMaxEventBytes) {
    state_ = stream_state::kWrongAnswer;
  }
  return std::string_view(pending_).substr(0, released_);
}

void numbered_event_scanner::CheckEvent(std::string_view event) {
  const auto number = EventNumber(event);
  if (!number || (last_id_ && *number != *last_id_ + 1)) {
    state_ = stream_state::kWrongAnswer;
    return;
  }
  last_id_ = number;
  ++new_events_;
}

std::string numbered_event_scanner::last_event_id() const {
  return last_id_ ? std::to_string(*last_id_) : std::string();
}

}  // namespace burdocklock::gateway
