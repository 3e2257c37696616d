// Groups refusals for the log: under a flood a line for each would take the
// processor time of the calls that are served.
#pragma once

#include <string>
#include <vector>

#include "refusals/types/refusal.h"

namespace burdocklock::refusals {

/// A refusal and the request id that its caller was shown.
struct named_refusal {
  refusal made;
  std::string request_name;
};

/// Groups of the same customer, reason and run state, in the order of their
/// first refusals. Few of a kind are left apart: each is a group of its own.
std::vector<std::vector<named_refusal>> GroupByKind(
    std::vector<named_refusal> refused);

}  // namespace burdocklock::refusals
