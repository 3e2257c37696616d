// Ids of a daemon's refusals.
#pragma once

#include <atomic>
#include <cstdint>

#include "framework/types/ids.h"

namespace burdocklock::refusals {

/// Assigns consecutive ids, so that a missing record is noticed. Callable from
/// any thread.
class refusal_numbers {
 public:
  refusal_seq Next() {
    return refusal_seq(last_.fetch_add(1, std::memory_order_relaxed) + 1);
  }

 private:
  std::atomic<std::uint64_t> last_{0};
};

}  // namespace burdocklock::refusals
