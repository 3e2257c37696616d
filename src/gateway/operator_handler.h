// HTTP interface for operators and the platform, on a separate listener.
#pragma once

#include <string>
#include <vector>

#include "config/types/sheet.h"
#include "framework/net/http_server.h"
#include "gateway/i_operations.h"

namespace burdocklock::gateway {

class operator_handler : public net::i_http_handler {
 public:
  operator_handler(i_operations& operations,
                   std::vector<config::key_hash> tokens);

  net::keep_alive Handle(net::http_connection& connection,
                         net::http_request& request) override;
  void OnBadRequest(net::http_connection& connection, error_code code) override;

 private:
  struct reply {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
  };

  [[nodiscard]] reply HandlePlatform(std::string_view path) const;
  [[nodiscard]] reply HandleOperator(const net::http_request& request) const;

  [[nodiscard]] reply OrderDataCentre(std::string_view rest) const;

  i_operations& operations_;
  std::vector<config::key_hash> tokens_;
};

}  // namespace burdocklock::gateway
