// See the header.
#include "admission/retry_elsewhere.h"

#include <cstdint>

namespace burdocklock::admission {

namespace {

constexpr std::chrono::milliseconds kLeast{200};
constexpr std::chrono::milliseconds kStep{50};
constexpr std::uint64_t kSteps = 8;

}  // namespace

std::chrono::milliseconds RetryElsewhereAfter(request_seq request) {
  return kLeast + kStep * (request.value() % kSteps);
}

}  // namespace burdocklock::admission
