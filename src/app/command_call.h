// Runs control host commands received over HTTP, independent of the interface
// they arrive on.
#pragma once

#include <functional>
#include <string>

#include "control/i_control_commands.h"
#include "framework/net/http_types.h"
#include "framework/net/json_reply.h"
#include "routes/i_configuration_reader.h"

namespace burdocklock::app {

/// Returns an error reply whose JSON body holds `detail`.
net::json_reply MakeProblem(net::http::status status,
                            const std::string& detail);

/// Runs a command, blocks the fiber until it completes and returns its outcome:
/// a redirect if another host is the leader, 503 if the outcome is unknown.
net::json_reply RunCommand(
    const net::http_request& request,
    const std::function<void(control::command_done done)>& command);

/// Parses and validates the request body and applies it as the configuration;
/// 400 if it is not a valid configuration.
net::json_reply RunReplaceConfiguration(
    const net::http_request& request,
    const routes::i_configuration_reader& reader,
    control::i_control_commands& commands);

/// Returns the latest configuration document unmodified; 503 if there is none
/// or this host cannot confirm which one is the latest.
net::json_reply RunReadConfiguration(const net::http_request& request,
                                     control::i_control_commands& commands);

}  // namespace burdocklock::app
