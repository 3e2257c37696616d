// Client of a daemon's operator API.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "framework/types/error.h"

namespace burdocklock::ctl {

class operator_client {
 public:
  /// `address` is "ip:port".
  operator_client(std::string address, std::string token);

  [[nodiscard]] result<nlohmann::ordered_json> Get(
      const std::string& path) const;
  [[nodiscard]] result<nlohmann::ordered_json> Post(
      const std::string& path) const;

 private:
  [[nodiscard]] result<nlohmann::ordered_json> Call(
      bool post,
      const std::string& path) const;

  std::string address_;
  std::string token_;
};

}  // namespace burdocklock::ctl
