// Router side of the slot leases: numbers reports and applies grants.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "allocation/types/grant.h"
#include "allocation/types/report.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "membership/types/member.h"

namespace burdocklock::allocation {

/// Leases of one data centre's targets at this router.
///
/// Invariant: a lease is valid for `lease` from the time at which the router
/// sent the report that the grant answers. It therefore expires here before the
/// coordinator treats it as expired.
class slot_client {
 public:
  explicit slot_client(duration lease) : lease_(lease) {}

  /// Sets the report's sequence number and the last applied grant, and records
  /// the time of sending. `coordinator` is the process that receives the
  /// report.
  void PrepareReport(router_report& report,
                     const membership::member& coordinator,
                     time_point now);
  /// Applies a grant. Returns false if it is outdated or repeated, or if its
  /// sender is not the recipient of the last report.
  bool Apply(const grant_table& grant);

  /// Leases of the last grant; in force until `valid_until`.
  [[nodiscard]] const std::vector<targets::target_lease>& leases() const {
    return leases_;
  }
  [[nodiscard]] time_point valid_until() const { return valid_until_; }
  [[nodiscard]] const std::vector<pool_status>& pool_statuses() const {
    return pool_statuses_;
  }
  /// Sequence number of the last report.
  [[nodiscard]] std::uint64_t last_sequence() const { return sequence_; }
  /// Sequence number of the report that the last grant answers.
  [[nodiscard]] std::uint64_t last_answered() const { return last_answered_; }

 private:
  duration lease_;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_answered_ = 0;
  std::map<std::uint64_t, time_point> sent_at_;
  /// Recipient of the last report.
  std::optional<membership::member> recipient_;
  std::uint64_t applied_grant_ = 0;
  incarnation applied_from_;
  std::vector<targets::target_lease> leases_;
  std::vector<pool_status> pool_statuses_;
  time_point valid_until_{};
};

}  // namespace burdocklock::allocation
