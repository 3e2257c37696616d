// Finds the max-min fair share by filling the demands in ascending order.
#include "admission/fair_share.h"

#include <algorithm>
#include <cstddef>

namespace burdocklock::admission {

double MaxMinShare(std::vector<double> demands, double capacity) {
  std::sort(demands.begin(), demands.end());
  double remaining = capacity;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double equal_share =
        remaining / static_cast<double>(demands.size() - i);
    if (demands[i] > equal_share) {
      return equal_share;
    }
    remaining -= demands[i];
  }
  return kNoLimit;
}

}  // namespace burdocklock::admission
