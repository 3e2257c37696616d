// Port: an interface for callers, targets and operators.
#pragma once

#include <functional>
#include <memory>

#include "control/i_control_commands.h"
#include "framework/net/http_server.h"
#include "gateway/i_call_dialect.h"
#include "routes/i_configuration_reader.h"

namespace burdocklock::app {

class i_interface_adapter {
 public:
  virtual ~i_interface_adapter() = default;

  [[nodiscard]] virtual const gateway::i_call_dialect& calls() const = 0;
  [[nodiscard]] virtual const routes::i_configuration_reader& configurations()
      const = 0;
  /// Creates the handler for requests of operators and targets to a control
  /// host.
  [[nodiscard]] virtual std::unique_ptr<net::i_http_handler> MakeCommandHandler(
      control::i_control_commands& commands) const = 0;
  /// Creates the handler of the readiness probe.
  [[nodiscard]] virtual std::unique_ptr<net::i_http_handler>
  MakeReadinessHandler(std::function<bool()> is_ready) const = 0;
};

}  // namespace burdocklock::app
