// HTTP API of a control host for operators and targets.
#pragma once

#include <string_view>
#include <vector>

#include "config/types/sheet.h"
#include "control/i_control_commands.h"
#include "framework/net/http_server.h"
#include "framework/net/json_reply.h"
#include "route_interface/configuration_document.h"

namespace burdocklock::route_interface {

/// Hashes of the accepted bearer tokens.
struct command_tokens {
  std::vector<config::key_hash> operators;
  std::vector<config::key_hash> targets;
};

/// Operator endpoints: GET and PUT /v1/configuration, POST
/// /v1/data-centres/NAME/out and /in, GET and POST /v1/rollouts/SERVICE, GET
/// /v1/rollouts/SERVICE/history. Target endpoints: POST /v1/targets/announce
/// and /v1/targets/withdraw.
class command_handler : public net::i_http_handler {
 public:
  /// The referenced objects must outlive the handler.
  command_handler(control::i_control_commands& commands,
                  const configuration_document& reader,
                  const command_tokens& tokens)
      : commands_(commands), configuration_reader_(reader), tokens_(tokens) {}

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override;
  void OnBadRequest(net::http_connection& connection, error_code code) override;

 private:
  net::json_reply HandleCommand(const net::http_request& request);
  net::json_reply HandleTargetCommand(const net::http_request& request);
  net::json_reply HandleConfiguration(const net::http_request& request);
  net::json_reply HandleOutage(const net::http_request& request,
                               std::string_view path_suffix);
  net::json_reply HandleRollout(const net::http_request& request,
                                const pool_id& service);
  net::json_reply HandleAnnounce(const net::http_request& request);
  net::json_reply HandleWithdraw(const net::http_request& request);

  control::i_control_commands& commands_;
  const configuration_document& configuration_reader_;
  const command_tokens& tokens_;
};

}  // namespace burdocklock::route_interface
