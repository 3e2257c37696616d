// Operators' orders that take data centres out of service or return them.
// Orders are versioned and merged from any message; an older order never
// replaces a newer one.
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

/// Invariant: the order stored for a data centre is the one with the largest
/// (version, out, accepted_by) ever seen by this daemon. Of two concurrent
/// orders with the same version, the one that takes the data centre out wins.
class data_centre_orders {
 public:
  /// Stores an operator's order under the next version and returns it.
  data_centre_order Accept(const data_centre_id& data_centre,
                           bool out,
                           const daemon_id& self);
  /// Merges an order received from another daemon. Returns true if it is newer
  /// than the stored one.
  bool Merge(const data_centre_order& order);

  [[nodiscard]] bool IsOut(const data_centre_id& data_centre) const;
  [[nodiscard]] std::vector<data_centre_order> All() const;

 private:
  std::map<data_centre_id, data_centre_order> orders_;
};

}  // namespace burdocklock::membership
