// Whole-document checks of a routing configuration.
#pragma once

#include "framework/types/error.h"
#include "routes/types/configuration.h"

namespace burdocklock::routes {

/// Fails with the first of: a route that names an unknown service, two routes
/// for the same host name and prefix, weights that add up to zero, a timeout of
/// zero, a malformed prefix, a service or customer named twice, a key held by
/// two customers.
result<void> Check(const configuration& configuration);

}  // namespace burdocklock::routes
