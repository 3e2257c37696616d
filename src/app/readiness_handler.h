// HTTP readiness probe: reports at one path whether a router accepts callers.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "framework/net/http_server.h"

namespace burdocklock::app {

class readiness_handler : public net::i_http_handler {
 public:
  readiness_handler(std::string path, std::function<bool()> is_ready)
      : path_(std::move(path)), is_ready_(std::move(is_ready)) {}

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override;
  void OnBadRequest(net::http_connection& connection, error_code code) override;

 private:
  std::string path_;
  std::function<bool()> is_ready_;
};

}  // namespace burdocklock::app
