// Cost model of served requests.
#pragma once

#include <cstdint>

namespace burdocklock::fairness {

/// Cost of a request, comparable within one pool. An output token costs more
/// than a prompt token because it occupies the engine for a whole decoding
/// step.
using service_units = double;

inline constexpr service_units kUnitsPerPromptToken = 1.0;
inline constexpr service_units kUnitsPerOutputToken = 2.0;
/// Flat cost of a service call, whose actual work is not reported.
inline constexpr service_units kUnitsPerServiceCall = 1.0;

}  // namespace burdocklock::fairness
