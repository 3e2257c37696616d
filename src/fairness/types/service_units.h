// What service costs.
#pragma once

#include <cstdint>

namespace burdocklock::fairness {

/// Cost of work, comparable within one pool. An output token costs more than a
/// prompt token, as it occupies the engine for a whole decoding step.
using service_units = double;

inline constexpr service_units kUnitsPerPromptToken = 1.0;
inline constexpr service_units kUnitsPerOutputToken = 2.0;
/// Cost of a call to a plain service, whose work cannot be seen.
inline constexpr service_units kUnitsPerServiceCall = 1.0;

}  // namespace burdocklock::fairness
