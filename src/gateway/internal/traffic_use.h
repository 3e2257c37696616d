// What a traffic thread uses of its router's means.
#pragma once

#include <cstddef>

#include "admission/types/router_use.h"
#include "framework/types/time.h"
#include "gateway/internal/attempt_runner.h"

namespace burdocklock::gateway {

/// Measures the memory that the process has allocated. That takes the longer,
/// the more free pieces the heap is divided into.
class heap_meter {
 public:
  /// Returns the bytes in use; 0 if they are not known, or were measured so
  /// lately that measuring would take more than a thousandth of the time.
  /// `estimated`, the bytes thought to be in use, are measured sooner if they
  /// have grown by 8 MB.
  std::size_t Measure(std::size_t estimated);

 private:
  time_point next_{};
  /// When it was last measured.
  std::size_t estimated_ = 0;
};

/// With the allocated memory if it was measured now.
admission::router_use MeasureUse(const traffic_context& context,
                                 heap_meter& heap);

}  // namespace burdocklock::gateway
