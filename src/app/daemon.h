// The daemon of a router: connects the modules and runs them until stopped.
#pragma once

#include <functional>
#include <memory>

#include "app/i_interface_adapter.h"
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

/// Reads the current settings, which may differ from those read before.
using settings_source = std::function<result<config::settings>()>;

class daemon {
 public:
  /// `adapter` implements an interface with routes; nullptr selects the
  /// OpenAI-style interface. With `reread`, the settings are reloaded
  /// periodically and on SIGHUP.
  daemon(config::settings settings,
         config::sheet sheet,
         i_logger& logger,
         const i_interface_adapter* adapter = nullptr,
         settings_source reread = {});
  ~daemon();

  /// Runs until a drain has completed. `on_started` is called once all
  /// listeners are bound. Fails if a listener cannot be bound.
  result<void> Run(
      const std::function<void(const daemon_addresses&)>& on_started);
  /// Begins a graceful shutdown; callable from any thread.
  void Stop();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::app
