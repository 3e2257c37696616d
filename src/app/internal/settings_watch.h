// Detects changed settings by polling and on request.
#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "app/daemon.h"
#include "config/types/settings.h"
#include "framework/logging/i_logger.h"

namespace burdocklock::app {

/// All members must be called on the thread of the io_context.
class settings_watch {
 public:
  using change_handler = std::function<void(const config::settings& changed)>;

  /// Without `reread`, the watch does nothing.
  settings_watch(boost::asio::io_context& io,
                 settings_source reread,
                 i_logger& logger,
                 change_handler on_change);

  void Start();
  void Stop();
  /// Reads the settings immediately; `cause` is written to the log.
  void Reload(const std::string& cause);

 private:
  void Schedule();

  settings_source reread_;
  i_logger& logger_;
  change_handler on_change_;
  boost::asio::steady_timer timer_;
  config::settings current_;
};

}  // namespace burdocklock::app
