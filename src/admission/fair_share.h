// Max-min fair division of a capacity.
#pragma once

#include <limits>
#include <vector>

namespace burdocklock::admission {

inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

/// Returns the largest cap such that the demands, each limited to the cap, add
/// up to at most `capacity`; kNoLimit if all demands fit without a cap.
double MaxMinShare(std::vector<double> demands, double capacity);

}  // namespace burdocklock::admission
