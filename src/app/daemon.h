// The daemon: wires the modules together and runs them until it is told to
// stop.
#pragma once

#include <functional>
#include <memory>

#include "config/types/settings.h"
#include "config/types/sheet.h"
#include "framework/logging/i_logger.h"
#include "framework/types/endpoint.h"
#include "framework/types/error.h"

namespace burdocklock::app {

/// The addresses on which a daemon listens.
struct daemon_addresses {
  endpoint callers;
  endpoint operators;
};

class daemon {
 public:
  daemon(config::settings settings, config::sheet sheet, i_logger& logger);
  ~daemon();

  /// Runs until a drain is complete. `on_started` is called once all listeners
  /// are bound. Fails if a listener cannot be bound.
  result<void> Run(
      const std::function<void(const daemon_addresses&)>& on_started);
  /// Begins a graceful shutdown; callable from any thread.
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::app
