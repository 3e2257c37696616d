// Validates a stream of server-sent events by their sequence numbers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/i_stream_scanner.h"

namespace burdocklock::gateway {

/// Parses an event ID as a sequence number; nullopt if it is not a number.
std::optional<std::uint64_t> ParseEventNumber(std::string_view id);

/// Releases complete events with consecutive IDs. The stream is complete if its
/// body ends after a complete event.
class numbered_event_scanner : public i_stream_scanner {
 public:
  static constexpr std::size_t kMaxEventBytes = 128 * 1024;

  /// `after` is the ID of the last event forwarded by an earlier attempt.
  explicit numbered_event_scanner(std::optional<std::uint64_t> after)
      : last_id_(after) {}

  std::string_view Feed(std::string_view bytes) override;
  [[nodiscard]] bool IsCompleteAtEnd() const override {
    return state_ == stream_state::kOpen && pending_.size() == released_ &&
           last_id_.has_value();
  }

  [[nodiscard]] stream_state state() const override { return state_; }
  [[nodiscard]] std::uint32_t new_tokens() const override {
    return new_events_;
  }
  [[nodiscard]] const std::optional<routing::usage>& reported_usage()
      const override {
    return usage_;
  }
  [[nodiscard]] std::string last_event_id() const override;

 private:
  void CheckEvent(std::string_view event);

  std::string pending_;
  std::size_t released_ = 0;
  stream_state state_ = stream_state::kOpen;
  std::uint32_t new_events_ = 0;
  std::optional<std::uint64_t> last_id_;
  std::optional<routing::usage> usage_;
};

}  // namespace burdocklock::gateway
