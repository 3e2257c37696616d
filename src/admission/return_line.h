// Places in line for the callers of refused requests. Answers the load of
// callers that were refused together and would come back together.
#pragma once

#include <chrono>

#include "framework/types/time.h"

namespace burdocklock::admission {

/// Gives successive callers successive times, as far apart as requests of the
/// pool begin at this router.
class return_line {
 public:
  /// When the next caller should come back: not before `earliest`, and not
  /// later than `latest`, which is all the time that it would wait. A line that
  /// has grown longer begins anew at `earliest`.
  std::chrono::milliseconds Next(double begins_per_second,
                                 duration earliest,
                                 duration latest,
                                 time_point now);

 private:
  time_point last_{};
};

}  // namespace burdocklock::admission
