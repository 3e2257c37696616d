// Interface of the parsers of routing configurations.
#pragma once

#include <string_view>

#include "framework/types/error.h"
#include "routes/types/configuration.h"

namespace burdocklock::routes {

class i_configuration_reader {
 public:
  virtual ~i_configuration_reader() = default;

  /// Parses a complete document; fails if it is malformed. The result must
  /// still be validated (configuration_checks.h).
  [[nodiscard]] virtual result<configuration> Read(
      std::string_view document) const = 0;
};

}  // namespace burdocklock::routes
