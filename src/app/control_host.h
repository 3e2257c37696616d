// The daemon of a control host: connects the control node to its log on disk,
// its links and its listeners.
#pragma once

#include <memory>

#include "app/daemon.h"
#include "app/i_interface_adapter.h"
#include "config/types/settings.h"
#include "framework/logging/i_logger.h"
#include "framework/types/error.h"

namespace burdocklock::app {

class control_host {
 public:
  control_host(config::settings settings,
               i_logger& logger,
               const i_interface_adapter& adapter,
               settings_source reread);
  ~control_host();

  /// Runs until stopped. `on_started` is called once all listeners are bound.
  /// Fails if the log cannot be opened or a listener cannot be bound.
  result<void> Run(const std::function<void()>& on_started);
  /// Stops the daemon; callable from any thread.
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::app
