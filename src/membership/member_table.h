// The daemons that this one can reach, and who coordinates a data centre.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "membership/types/member.h"

namespace burdocklock::membership {

/// Tracks liveness by what was heard. A member that is silent for the timeout
/// is dead until it is heard again; a new incarnation replaces the old one at
/// once, whatever its address.
///
/// Invariant: the coordinator of a data centre is the live member there that
/// comes first by (control role, daemon id); this daemon counts as live.
class member_table {
 public:
  member_table(member self, duration timeout);

  /// A member was heard. Returns false for one of an earlier incarnation.
  bool Heard(const member& member, time_point now);
  /// This daemon shuts down: it coordinates only where nobody else can.
  void LeaveSelf() { self_leaves_ = true; }
  /// A member announced that it leaves.
  void Left(const daemon_id& daemon);

  [[nodiscard]] bool IsAlive(const daemon_id& daemon, time_point now) const;
  [[nodiscard]] std::optional<member> Coordinator(
      const data_centre_id& data_centre,
      time_point now) const;
  /// Live members, this daemon included.
  [[nodiscard]] std::vector<member> Alive(time_point now) const;
  /// Data centres of this daemon's region that have a live member.
  [[nodiscard]] std::vector<data_centre_id> DataCentres(time_point now) const;
  [[nodiscard]] const member& self() const { return self_; }

 private:
  struct entry {
    member described;
    time_point last_heard;
    bool left = false;
  };

  [[nodiscard]] bool IsAlive(const entry& entry, time_point now) const;

  member self_;
  duration timeout_;
  bool self_leaves_ = false;
  std::map<daemon_id, entry> others_;
};

}  // namespace burdocklock::membership
