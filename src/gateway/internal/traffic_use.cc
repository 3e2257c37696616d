// What a traffic thread uses of its router's means.
#include <malloc.h>

#include <chrono>

#include "framework/fiber/fiber_thread.h"
#include "gateway/internal/attempt_runner.h"
#include "gateway/internal/traffic_use.h"

namespace burdocklock::gateway {

namespace {

// Of a fiber's stack what a connection has touched.
constexpr std::size_t kStackBytes = std::size_t{16} * 1024;
constexpr std::size_t kMeasuredGrowth = std::size_t{8} * 1024 * 1024;
// Measuring takes a thousandth of the time at most.
constexpr int kTimePerMeasuring = 1000;

}  // namespace

admission::router_use traffic_context::Use() const {
  const std::int64_t relative = shared.demand_over_mean;
  return {.connections = shared.callers.open / threads,
          .unread_calls = shared.callers.unread / threads,
          .turn = TurnTime(),
          .held_bytes = budget.counted(),
          .demand_over_mean = relative < 0
                                  ? std::nullopt
                                  : std::optional<double>(
                                        static_cast<double>(relative) / 1000)};
}

std::size_t heap_meter::Measure(std::size_t estimated) {
  const time_point began = std::chrono::steady_clock::now();
  if (began < next_ && estimated < estimated_ + kMeasuredGrowth) {
    return 0;
  }
  estimated_ = estimated;
  const struct mallinfo2 heap = mallinfo2();
  const time_point ended = std::chrono::steady_clock::now();
  next_ = ended + kTimePerMeasuring * (ended - began);
  // Zero where another allocator is in use.
  return heap.uordblks > 0 ? heap.uordblks + heap.hblkhd : 0;
}

admission::router_use MeasureUse(const traffic_context& context,
                                 heap_meter& heap) {
  admission::router_use use = context.Use();
  const std::size_t allocated = heap.Measure(context.intake.MemoryOf(use));
  if (allocated > 0) {
    use.memory_bytes =
        allocated / context.threads + use.connections * kStackBytes;
  }
  return use;
}

}  // namespace burdocklock::gateway
