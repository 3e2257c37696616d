// Max-min fairness.
#pragma once

#include <limits>
#include <vector>

namespace burdocklock::admission {

inline constexpr double kNoLimit = std::numeric_limits<double>::infinity();

/// The largest share such that, if everybody gets what it asks but no more than
/// the share, the sum is at most `capacity`; kNoLimit if all can have what they
/// ask.
double MaxMinShare(std::vector<double> asked, double capacity);

}  // namespace burdocklock::admission
