// Burdocklock's native JSON format of routing configurations.
#pragma once

#include <string_view>

#include "routes/i_configuration_reader.h"

namespace burdocklock::route_interface {

/// Unknown members are rejected, so that a misspelt one does not silently leave
/// the default in effect. The format is documented in
/// docs/operations/routes.md.
class configuration_document : public routes::i_configuration_reader {
 public:
  [[nodiscard]] result<routes::configuration> Read(
      std::string_view document) const override;
};

}  // namespace burdocklock::route_interface
