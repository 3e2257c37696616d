// Commands to a control host that arrive as HTTP requests, whatever their form.
#pragma once

#include <functional>
#include <string>

#include "control/i_control_commands.h"
#include "framework/net/http_types.h"
#include "framework/net/json_reply.h"
#include "routes/i_configuration_reader.h"

namespace burdocklock::app {

/// A reply that tells what was wrong.
net::json_reply MakeProblem(net::http::status status,
                            const std::string& detail);

/// Runs a command, blocks the fiber until it is done and tells its outcome: a
/// redirect if another host decides, 503 if the outcome is not known.
net::json_reply RunCommand(
    const net::http_request& request,
    const std::function<void(control::command_done done)>& command);

/// Reads and checks the request's body and puts it in force; 400 if it is not
/// a valid configuration.
net::json_reply RunReplaceConfiguration(
    const net::http_request& request,
    const routes::i_configuration_reader& reader,
    control::i_control_commands& commands);

/// Answers with the newest configuration as it was given; 503 if there is none
/// or this host cannot be sure which it is.
net::json_reply RunReadConfiguration(const net::http_request& request,
                                     control::i_control_commands& commands);

}  // namespace burdocklock::app
