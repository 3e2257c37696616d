// Maps settings to the options of the decision modules.
#pragma once

#include "config/types/settings.h"
#include "gateway/types/gateway_options.h"
#include "routing/request_router.h"

namespace burdocklock::app {

routing::router_options MakeRouterOptions(const config::settings& settings);
gateway::gateway_options MakeGatewayOptions(const config::settings& settings);

}  // namespace burdocklock::app
