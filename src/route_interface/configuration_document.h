// The product's own form of a routing configuration, in JSON.
#pragma once

#include <string_view>

#include "routes/i_configuration_reader.h"

namespace burdocklock::route_interface {

/// Strict: a member that is not known is an error, so that a misspelt one is
/// not taken for a default. docs/operations/routes.md lists the members.
class configuration_document : public routes::i_configuration_reader {
 public:
  [[nodiscard]] result<routes::configuration> Read(
      std::string_view document) const override;
};

}  // namespace burdocklock::route_interface
