// Options of listeners that log why a connection failed.
#pragma once

#include <string>

#include "framework/logging/i_logger.h"
#include "framework/net/http_server.h"

namespace burdocklock::app {

inline void LogFailedConnection(const std::string& cause, i_logger& logger) {
  logger.Log(log_record("connection_failed").Add("cause", cause));
}

inline net::http_server_options LoggedListener(const endpoint& listen,
                                               i_logger& logger) {
  return {.listen = listen, .on_failed = [&logger](const std::string& cause) {
            LogFailedConnection(cause, logger);
          }};
}

}  // namespace burdocklock::app
