// Converts settings to the options of the individual modules.
#pragma once

#include "config/types/settings.h"
#include "fleet/fleet_node.h"
#include "gateway/types/gateway_options.h"
#include "peer/peer_network.h"
#include "routing/request_router.h"
#include "routing/types/drain_window.h"

namespace burdocklock::app {

routing::router_options MakeRouterOptions(const config::settings& settings);
gateway::gateway_options MakeGatewayOptions(const config::settings& settings);
fleet::fleet_options MakeFleetOptions(const config::settings& settings,
                                      incarnation life);
routing::drain_window MakeDrainWindow(const config::timeout_settings& timeouts,
                                      time_point begin);
peer::peer_options MakePeerOptions(const config::settings& settings);

}  // namespace burdocklock::app
