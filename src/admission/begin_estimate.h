// Estimates when a waiting request of a pool will begin at this router. Answers
// the load of an overload that ends and leaves a standing queue.
#pragma once

#include <cstddef>
#include <optional>

#include "framework/types/time.h"

namespace burdocklock::admission {

/// Counts the requests that begin while some wait, over the time for which some
/// waited: what begins while none waits says nothing of how fast a queue moves.
/// Both decay, so that the estimate follows what targets serve now.
class begin_estimate {
 public:
  /// Something waits from now on, or nothing does any longer.
  void SetWaiting(bool waiting, time_point now);
  /// A request began at a target. Returns whether it counts.
  bool OnBegun(time_point now);
  /// One that counts did not begin after all: its target had no room.
  void OnNotBegun(time_point now);

  /// Time until a request begins that has `ahead` others before it in its
  /// order, with a margin of two standard deviations; nullopt while too little
  /// is known: nothing has begun lately, as when targets stall, or nothing had
  /// to wait.
  [[nodiscard]] std::optional<duration> Until(double ahead,
                                              time_point now) const;
  /// Requests that begin per second while some wait; nullopt if unknown.
  [[nodiscard]] std::optional<double> Rate(time_point now) const;
  /// Whether something has waited for most of the latest time.
  [[nodiscard]] bool IsStanding(time_point now) const;

 private:
  struct counts {
    double begun = 0;
    double waited_s = 0;
    /// Part of the latest time in which something waited, 0 to 1.
    double busy = 0;
  };

  [[nodiscard]] counts At(time_point now) const;
  void Update(time_point now);

  counts counts_;
  bool waiting_ = false;
  time_point updated_at_{};
};

}  // namespace burdocklock::admission
