// Burdocklock's native route interface for callers, targets and operators.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "app/i_interface_adapter.h"
#include "route_interface/command_handler.h"
#include "route_interface/configuration_document.h"
#include "route_interface/route_dialect.h"

namespace burdocklock::route_interface {

class route_adapter : public app::i_interface_adapter {
 public:
  explicit route_adapter(command_tokens tokens) : tokens_(std::move(tokens)) {}

  [[nodiscard]] const gateway::i_call_dialect& calls() const override {
    return dialect_;
  }
  [[nodiscard]] const routes::i_configuration_reader& configurations()
      const override {
    return configuration_reader_;
  }
  [[nodiscard]] std::unique_ptr<net::i_http_handler> MakeCommandHandler(
      control::i_control_commands& commands) const override;
  [[nodiscard]] std::unique_ptr<net::i_http_handler> MakeReadinessHandler(
      std::function<bool()> is_ready) const override;

 private:
  command_tokens tokens_;
  route_dialect dialect_;
  configuration_document configuration_reader_;
};

}  // namespace burdocklock::route_interface
