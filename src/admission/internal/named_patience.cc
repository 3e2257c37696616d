// See the header.
#include "admission/named_patience.h"

#include <algorithm>
#include <optional>

namespace burdocklock::admission {

namespace {

// Times that so many of the latest calls name are those of new calls.
constexpr std::ptrdiff_t kManyCalls = 8;

}  // namespace

duration named_patience::OnCall(duration patience, duration step) {
  const auto steps = static_cast<std::uint64_t>(patience / step) + 1;
  latest_[next_] = steps;
  next_ = (next_ + 1) % kLatestCalls;
  const auto is_of_new_calls = [&](std::uint64_t time) {
    return std::count(latest_.begin(), latest_.end(), time) >= kManyCalls;
  };
  if (is_of_new_calls(steps)) {
    return duration::zero();
  }
  std::optional<std::uint64_t> whole;
  for (const std::uint64_t time : latest_) {
    if (time > steps && (!whole || time < *whole) && is_of_new_calls(time)) {
      whole = time;
    }
  }
  return whole ? step * static_cast<std::int64_t>(*whole - steps)
               : duration::zero();
}

}  // namespace burdocklock::admission
