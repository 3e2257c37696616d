// Port: checks a stream of events before it is passed on.
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

/// Releases bytes only as whole, approved events.
class i_stream_scanner {
 public:
  virtual ~i_stream_scanner() = default;

  /// Adds received bytes and returns those that may be passed on; the view is
  /// valid until the next call.
  virtual std::string_view Feed(std::string_view bytes) = 0;
  /// The body has ended properly. True if the stream is whole.
  [[nodiscard]] virtual bool IsWholeAtEnd() const = 0;

  [[nodiscard]] virtual stream_state state() const = 0;
  /// Events with output that were approved in the last call.
  [[nodiscard]] virtual std::uint32_t new_tokens() const = 0;
  [[nodiscard]] virtual const std::optional<routing::usage>& reported_usage()
      const = 0;
  /// Id of the last event that was released; empty if events have none.
  [[nodiscard]] virtual std::string last_event_id() const = 0;
};

}  // namespace burdocklock::gateway
