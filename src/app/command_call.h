// Runs control host commands received over HTTP, independent of the interface
// they arrive on.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "control/i_control_commands.h"
#include "framework/net/http_types.h"
#include "framework/net/json_reply.h"
#include "framework/types/error.h"
#include "rollouts/types/rollout.h"
#include "rollouts/types/rollout_record.h"
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

/// Begins a rollout. 400 if the order could not be read, 422 if the
/// configuration has no such service or rollouts are not enabled, 409 while
/// another rollout of the service is in progress, 503 if the configuration in
/// force cannot be read.
net::json_reply RunBeginRollout(const net::http_request& request,
                                const result<rollouts::rollout_order>& order,
                                const routes::i_configuration_reader& reader,
                                control::i_control_commands& commands);

/// Returns the latest rollout of the service, as written by `write`; 404 if it
/// had none, 503 if this host cannot confirm which one is the latest.
net::json_reply RunReadRollout(
    const net::http_request& request,
    const pool_id& service,
    const std::function<std::string(const rollouts::rollout& known)>& write,
    control::i_control_commands& commands);

/// What operators see of a service's latest rollouts.
struct rollout_history_view {
  pool_id service;
  /// Oldest first.
  std::vector<rollouts::rollout_record> records;
  /// In force, for the names of routes.
  std::vector<std::string> routes;
};

/// Returns the service's latest rollouts, as written by `write`; 404 if it had
/// none and the configuration has no such service, 503 if this host cannot
/// confirm which ones are the latest.
net::json_reply RunReadRolloutHistory(
    const net::http_request& request,
    const pool_id& service,
    const std::function<std::string(const rollout_history_view& view)>& write,
    const routes::i_configuration_reader& reader,
    control::i_control_commands& commands);

/// Reads an order whose members are named as given; `time_key` is in seconds.
result<rollouts::rollout_order> ReadRolloutOrder(const std::string& body,
                                                 const char* pool_key,
                                                 const char* version_key,
                                                 const char* time_key);

}  // namespace burdocklock::app
