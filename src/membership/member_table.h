// Liveness of the daemons, and the coordinator of each data centre.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "membership/types/member.h"

namespace burdocklock::membership {

/// Tracks liveness by received messages. A member from which nothing arrives
/// for `timeout` counts as dead until its next message. A new incarnation
/// replaces the previous one immediately, whatever its address.
///
/// Invariant: the coordinator of a data centre is the live member there with
/// the smallest daemon id, where members with the control role precede all
/// others. This daemon always counts as live.
class member_table {
 public:
  member_table(member self, duration timeout);

  /// Records a message from a member. Returns false if it is this daemon or an
  /// earlier incarnation.
  bool RecordContact(const member& member, time_point now);
  /// Called on shutdown: from then on this daemon coordinates its data centre
  /// only if no other live member can.
  void MarkSelfLeaving() { self_leaving_ = true; }
  /// A member announced its shutdown. It counts as dead until a new incarnation
  /// is seen.
  void MarkLeft(const daemon_id& daemon);

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
    member info;
    time_point last_contact;
    bool left = false;
  };

  [[nodiscard]] bool IsAlive(const entry& entry, time_point now) const;

  member self_;
  duration timeout_;
  bool self_leaving_ = false;
  std::map<daemon_id, entry> others_;
};

}  // namespace burdocklock::membership
