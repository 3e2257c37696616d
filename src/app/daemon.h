// The daemon: wires the modules together and runs them until it is told to
// stop.
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

/// Reads the settings again; they may have changed.
using settings_source = std::function<result<config::settings>()>;

class daemon {
 public:
  /// `adapter` serves routed callers; nullptr for the OpenAI-style interface.
  /// With `reread`, the settings are read again from time to time and on
  /// SIGHUP.
  daemon(config::settings settings,
         config::sheet sheet,
         i_logger& logger,
         const i_interface_adapter* adapter = nullptr,
         settings_source reread = {});
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
