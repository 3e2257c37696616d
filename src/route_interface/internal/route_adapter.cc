#include "route_interface/route_adapter.h"

#include "app/readiness_handler.h"

namespace burdocklock::route_interface {

namespace {

constexpr char kReadinessPath[] = "/readyz";

}  // namespace

std::unique_ptr<net::i_http_handler> route_adapter::MakeCommandHandler(
    control::i_control_commands& commands) const {
  return std::make_unique<command_handler>(commands, configuration_reader_,
                                           tokens_);
}

std::unique_ptr<net::i_http_handler> route_adapter::MakeReadinessHandler(
    std::function<bool()> is_ready) const {
  return std::make_unique<app::readiness_handler>(kReadinessPath,
                                                  std::move(is_ready));
}

}  // namespace burdocklock::route_interface
