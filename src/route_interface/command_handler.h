// Serves operators and targets at a control host.
#pragma once

#include <string_view>
#include <vector>

#include "config/types/sheet.h"
#include "control/i_control_commands.h"
#include "framework/net/http_server.h"
#include "framework/net/json_reply.h"
#include "route_interface/configuration_document.h"

namespace burdocklock::route_interface {

/// Hashes of the tokens that are accepted.
struct command_tokens {
  std::vector<config::key_hash> operators;
  std::vector<config::key_hash> targets;
};

/// PUT and GET /v1/configuration, POST /v1/data-centres/NAME/out and /in for
/// operators; POST /v1/targets/announce and /v1/targets/withdraw for targets.
class command_handler : public net::i_http_handler {
 public:
  /// All references must outlive the handler.
  command_handler(control::i_control_commands& commands,
                  const configuration_document& reader,
                  const command_tokens& tokens)
      : commands_(commands), reader_(reader), tokens_(tokens) {}

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override;
  void OnBadRequest(net::http_connection& connection, error_code code) override;

 private:
  net::json_reply Answer(const net::http_request& request);
  net::json_reply AnswerTarget(const net::http_request& request);
  net::json_reply AnswerConfiguration(const net::http_request& request);
  net::json_reply SetOutage(const net::http_request& request,
                            std::string_view order);
  net::json_reply Announce(const net::http_request& request);
  net::json_reply Withdraw(const net::http_request& request);

  control::i_control_commands& commands_;
  const configuration_document& reader_;
  const command_tokens& tokens_;
};

}  // namespace burdocklock::route_interface
