// Port: reads configurations as operators give them.
#pragma once

#include <string_view>

#include "framework/types/error.h"
#include "routes/types/configuration.h"

namespace burdocklock::routes {

class i_configuration_reader {
 public:
  virtual ~i_configuration_reader() = default;

  /// Reads a whole document; fails if it is not a configuration. What it says
  /// must still be checked (configuration_checks.h).
  [[nodiscard]] virtual result<configuration> Read(
      std::string_view document) const = 0;
};

}  // namespace burdocklock::routes
