// Checks a stream of server-sent events before it is passed on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "routing/types/attempt.h"

namespace burdocklock::gateway {

enum class stream_state {
  kOpen,
  /// The closing event has been seen; what follows is discarded.
  kDone,
  /// An event named another request, or could not be attributed to one.
  kWrongAnswer,
  /// The engine reported a failure within the stream.
  kTargetError,
};

/// Splits a stream into events and approves those that name the expected
/// request. Bytes are released only as whole, approved events.
class sse_scanner {
 public:
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  explicit sse_scanner(std::string request_name);

  /// Adds received bytes and returns those that may be passed on; the view is
  /// valid until the next call.
  std::string_view Feed(std::string_view bytes);

  [[nodiscard]] stream_state state() const { return state_; }
  /// Events with output that were approved in the last call.
  [[nodiscard]] std::uint32_t new_tokens() const { return new_tokens_; }
  [[nodiscard]] const std::optional<routing::usage>& reported_usage() const {
    return usage_;
  }

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

/// True if `answer_id`, such as "chatcmpl-NAME", names the request.
bool NamesRequest(std::string_view answer_id, std::string_view request_name);

/// What a whole answer of an engine says about itself.
struct answer_summary {
  bool names_request = false;
  std::optional<routing::usage> reported_usage;
};
answer_summary SummariseAnswer(std::string_view body,
                               std::string_view request_name);

}  // namespace burdocklock::gateway
