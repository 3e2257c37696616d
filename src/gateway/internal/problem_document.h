// Problem documents (RFC 9457) for refusals.
#pragma once

#include <string>

#include "refusals/types/refusal.h"

namespace burdocklock::gateway {

struct problem_ids {
  std::string refusal;
  /// Empty if the request could not be parsed.
  std::string request;
};

/// Formats the refusal as a JSON problem document.
std::string FormatProblem(const refusals::refusal& refusal,
                          const problem_ids& names);

}  // namespace burdocklock::gateway
