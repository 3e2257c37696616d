// Validation of a routing configuration.
#pragma once

#include "framework/types/error.h"
#include "routes/types/configuration.h"

namespace burdocklock::routes {

/// Returns the first error found: a route that refers to an unknown service,
/// two routes with the same host name and prefix, weights that sum to zero, a
/// timeout of zero, a malformed prefix, a duplicate service or customer, or a
/// key that belongs to two customers.
result<void> Check(const configuration& configuration);

/// `Check`, and what is refused of new versions only, as earlier software
/// stored it: an empty API key, and a customer with an empty name. Routers
/// accept neither's key (route_index.h).
result<void> CheckNew(const configuration& configuration);

}  // namespace burdocklock::routes
