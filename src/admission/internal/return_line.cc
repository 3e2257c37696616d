// See the header.
#include "admission/return_line.h"

#include <algorithm>

namespace burdocklock::admission {

std::chrono::milliseconds return_line::Next(double begins_per_second,
                                            duration earliest,
                                            duration latest,
                                            time_point now) {
  const auto gap = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1 / begins_per_second));
  const time_point first = now + std::min(earliest, latest);
  time_point place = std::max(last_ + gap, first);
  if (place > now + latest) {
    place = first;
  }
  last_ = place;
  return std::chrono::ceil<std::chrono::milliseconds>(place - now);
}

}  // namespace burdocklock::admission
