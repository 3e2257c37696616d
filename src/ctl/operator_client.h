// Client of a daemon's operator API.
#pragma once

#include <chrono>
#include <string>

#include <nlohmann/json.hpp>

#include "framework/net/http_types.h"
#include "framework/types/error.h"

namespace burdocklock::ctl {

class operator_client {
 public:
  /// `address` is "ip:port"; calls fail if the daemon does not answer within
  /// `timeout`.
  operator_client(std::string address,
                  std::string token,
                  std::chrono::milliseconds timeout);

  [[nodiscard]] result<nlohmann::ordered_json> Get(
      const std::string& path) const;
  [[nodiscard]] result<nlohmann::ordered_json> Post(
      const std::string& path,
      const std::string& body = {}) const;
  [[nodiscard]] result<nlohmann::ordered_json> Put(
      const std::string& path,
      const std::string& body) const;

 private:
  // Sends the request and follows redirects to the leading control host.
  [[nodiscard]] result<nlohmann::ordered_json> Call(
      net::http_request request) const;

  std::string address_;
  std::string token_;
  std::chrono::milliseconds timeout_;
};

}  // namespace burdocklock::ctl
