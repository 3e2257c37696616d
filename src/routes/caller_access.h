// Questions about who may call, for those that do not look at single customers.
#pragma once

#include <span>

#include "routes/types/configuration.h"

namespace burdocklock::routes {

[[nodiscard]] bool NeedsKeys(const caller_access& access);

/// The customers whose keys are accepted; none where no keys are needed. That
/// there are none does not say whether keys are needed.
[[nodiscard]] std::span<const route_customer> CustomersOf(
    const caller_access& access);

}  // namespace burdocklock::routes
