// See the header.
#include "app/internal/suspension_watch.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace burdocklock::app {

namespace {

// Far below the silences that have consequences.
constexpr std::chrono::milliseconds kMinSuspension{100};

}  // namespace

duration suspension_watch::OnRun(time_point due, time_point now) {
  const time_point last = std::exchange(last_run_, now);
  const time_point from = std::max(due, last);
  return now >= from && now - from >= kMinSuspension ? now - from
                                                     : duration::zero();
}

}  // namespace burdocklock::app
