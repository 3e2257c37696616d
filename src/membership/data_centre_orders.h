// Which data centres operators have taken out of service. Versioned, merged
// from any message and never lowered.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "framework/types/ids.h"

namespace burdocklock::membership {

struct data_centre_order {
  data_centre_id data_centre;
  bool out = false;
  std::uint64_t version = 0;
  /// The daemon that accepted the order; breaks ties between equal versions.
  daemon_id accepted_by;

  friend bool operator==(const data_centre_order&,
                         const data_centre_order&) = default;
};

/// Invariant: the order kept for a data centre is the one with the largest
/// (version, out, accepted_by) ever seen by this daemon. Of two orders given
/// at once under the same version the one that restricts wins.
class data_centre_orders {
 public:
  /// Accepts an operator's order here; returns it with its version.
  data_centre_order Accept(const data_centre_id& data_centre,
                           bool out,
                           const daemon_id& here);
  /// Takes an order heard from another daemon; true if it is news.
  bool Merge(const data_centre_order& order);

  [[nodiscard]] bool IsOut(const data_centre_id& data_centre) const;
  [[nodiscard]] std::vector<data_centre_order> All() const;

 private:
  std::map<data_centre_id, data_centre_order> orders_;
};

}  // namespace burdocklock::membership
