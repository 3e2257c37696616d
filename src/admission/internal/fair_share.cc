// See the header.
#include "admission/fair_share.h"

#include <algorithm>
#include <cstddef>

namespace burdocklock::admission {

double MaxMinShare(std::vector<double> asked, double capacity) {
  std::sort(asked.begin(), asked.end());
  double left = capacity;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    const double even = left / static_cast<double>(asked.size() - i);
    if (asked[i] > even) {
      return even;
    }
    left -= asked[i];
  }
  return kNoLimit;
}

}  // namespace burdocklock::admission
