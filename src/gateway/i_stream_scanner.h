// Interface: validates a stream of events before it is forwarded.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "routing/types/attempt.h"

namespace burdocklock::gateway {

enum class stream_state {
  kOpen,
  /// The closing event has been received; later data is discarded.
  kDone,
  /// An event belongs to another request, or to none that can be identified.
  kWrongAnswer,
  /// The engine reported an error within the stream.
  kTargetError,
};

/// Releases bytes only in complete, validated events.
class i_stream_scanner {
 public:
  virtual ~i_stream_scanner() = default;

  /// Adds received bytes and returns those that may be forwarded; the view is
  /// valid until the next call.
  virtual std::string_view Feed(std::string_view bytes) = 0;
  /// Called when the body has ended without a connection error. True if the
  /// stream is complete.
  [[nodiscard]] virtual bool IsCompleteAtEnd() const = 0;

  [[nodiscard]] virtual stream_state state() const = 0;
  /// Number of events with output released by the last call to `Feed`.
  [[nodiscard]] virtual std::uint32_t new_tokens() const = 0;
  [[nodiscard]] virtual const std::optional<routing::usage>& reported_usage()
      const = 0;
  /// ID of the last released event; empty if events have no IDs.
  [[nodiscard]] virtual std::string last_event_id() const = 0;
};

}  // namespace burdocklock::gateway
