// A router's side of the slot leases: builds its reports and applies grants.
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
/// Invariant: a lease is valid until `lease` after the sending of the report
/// that its grant answers, so that it ends here before the coordinator counts
/// it as ended.
class slot_client {
 public:
  explicit slot_client(duration lease) : lease_(lease) {}

  /// Numbers a report and notes when it was sent. `coordinator` names the
  /// process that it goes to.
  void Stamp(router_report& report,
             const membership::member& coordinator,
             time_point now);
  /// Takes a grant; false if it is late or repeated, or comes from a process
  /// that was not asked.
  bool Apply(const grant_table& grant);

  /// Leases in force, if the last grant has not run out.
  [[nodiscard]] const std::vector<targets::target_lease>& leases() const {
    return leases_;
  }
  [[nodiscard]] time_point valid_until() const { return valid_until_; }
  [[nodiscard]] const std::vector<pool_standing>& standings() const {
    return standings_;
  }
  /// Sequence number of the last report.
  [[nodiscard]] std::uint64_t last_sequence() const { return sequence_; }
  [[nodiscard]] std::uint64_t answered() const { return answered_; }

 private:
  duration lease_;
  std::uint64_t sequence_ = 0;
  std::uint64_t answered_ = 0;
  std::map<std::uint64_t, time_point> sent_;
  /// The process to which the last report went.
  std::optional<membership::member> asked_;
  std::uint64_t applied_grant_ = 0;
  incarnation applied_from_;
  std::vector<targets::target_lease> leases_;
  std::vector<pool_standing> standings_;
  time_point valid_until_{};
};

}  // namespace burdocklock::allocation
