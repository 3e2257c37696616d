// Whether a customer of a simulated fleet is starved.
#pragma once

#include <algorithm>
#include <cstdint>

#include <catch2/catch.hpp>

#include "routing/tests/simulated_fleet.h"

namespace burdocklock::routing {

inline simulated_fleet::second_account AccountAt(
    const simulated_fleet::account& seconds,
    std::int64_t second) {
  const auto found = seconds.find(second);
  return found == seconds.end() ? simulated_fleet::second_account()
                                : found->second;
}

// In any six seconds with a refused or late request of a customer in each, the
// customer's started tokens are at least half of the lesser of its demand and
// the most that any customer started, second by second, less three of its
// largest requests.
inline void CheckNoneStarved(const simulated_fleet& fleet,
                             std::int64_t first,
                             std::int64_t last) {
  constexpr std::int64_t kWindowSeconds = 6;
  constexpr double kLargestRequests = 3;
  for (const auto& [customer, own] : fleet.accounts()) {
    for (std::int64_t from = first; from + kWindowSeconds <= last; ++from) {
      bool always_refused_or_late = true;
      double due = 0;
      double started = 0;
      for (std::int64_t at = from; at < from + kWindowSeconds; ++at) {
        double most = 0;
        for (const auto& [other, seconds] : fleet.accounts()) {
          most = std::max(most, AccountAt(seconds, at).started);
        }
        always_refused_or_late &= AccountAt(own, at).refused_or_late;
        due += std::min(AccountAt(own, at).demand, most);
        started += AccountAt(own, at).started;
      }
      INFO(customer.value()
           << " from " << from << " s: due " << due << ", started " << started);
      const bool starved =
          always_refused_or_late &&
          started <
              due / 2 - kLargestRequests * fleet.largest_request(customer);
      CHECK_FALSE(starved);
    }
  }
}

}  // namespace burdocklock::routing
