// Validates a stream of server-sent events whose data contain the request ID.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/i_stream_scanner.h"
#include "gateway/i_target_dialect.h"
#include "routing/types/attempt.h"

namespace burdocklock::gateway {

/// Splits a stream into events and releases only complete events that carry the
/// expected request ID.
class sse_scanner : public i_stream_scanner {
 public:
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  explicit sse_scanner(std::string request_name);

  std::string_view Feed(std::string_view bytes) override;
  /// A complete stream ends with the closing event.
  [[nodiscard]] bool IsCompleteAtEnd() const override {
    return state_ == stream_state::kDone;
  }

  [[nodiscard]] stream_state state() const override { return state_; }
  [[nodiscard]] std::uint32_t new_tokens() const override {
    return new_tokens_;
  }
  [[nodiscard]] const std::optional<routing::usage>& reported_usage()
      const override {
    return usage_;
  }
  [[nodiscard]] std::string last_event_id() const override { return {}; }

 private:
  void CheckEvent(std::string_view event);
  void CheckDocument(std::string_view data);

  std::string request_name_;
  std::string pending_;
  std::size_t released_ = 0;
  stream_state state_ = stream_state::kOpen;
  std::uint32_t new_tokens_ = 0;
  std::optional<routing::usage> usage_;
};

/// True if `response_id`, such as "chatcmpl-NAME", contains the request ID.
bool MatchesRequest(std::string_view response_id,
                    std::string_view request_name);

response_summary SummariseResponse(std::string_view body,
                                   std::string_view request_name);

}  // namespace burdocklock::gateway
