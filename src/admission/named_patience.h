// Recognises calls whose callers have tried before, by the time they have left.
// Answers the load of refused callers that come back while new ones arrive.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "framework/types/time.h"

namespace burdocklock::admission {

/// Callers say how long they wait for an answer. New calls of a service name
/// one of a few times; those that come back name what is left of it, which
/// differs from call to call. A time that few of the latest calls name, and
/// that is below one that many name, is taken for what is left of that.
class named_patience {
 public:
  /// A caller says that it waits for `patience`, in steps of `step`, which is
  /// positive. Returns how long it has waited before, as far as known.
  duration OnCall(duration patience, duration step);

 private:
  static constexpr std::size_t kLatestCalls = 64;

  std::array<std::uint64_t, kLatestCalls> latest_{};
  std::size_t next_ = 0;
};

}  // namespace burdocklock::admission
