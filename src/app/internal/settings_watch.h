// Notices changed settings, with or without a signal.
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

  /// Does nothing without `reread`.
  settings_watch(boost::asio::io_context& io,
                 settings_source reread,
                 i_logger& logger,
                 change_handler on_change);

  void Start();
  void Stop();
  /// Reads the settings now; `cause` is for the log.
  void ReadAgain(const std::string& cause);

 private:
  void Schedule();

  settings_source reread_;
  i_logger& logger_;
  change_handler on_change_;
  boost::asio::steady_timer timer_;
  config::settings known_;
};

}  // namespace burdocklock::app
