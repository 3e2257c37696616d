// Retry-After of refusals that are this router's alone.
#pragma once

#include <chrono>

#include "framework/types/ids.h"

namespace burdocklock::admission {

/// When the caller of a refused request should try another router, which can
/// serve it at once. The delay differs by request, to spread the retries.
std::chrono::milliseconds RetryElsewhereAfter(request_seq request);

}  // namespace burdocklock::admission
