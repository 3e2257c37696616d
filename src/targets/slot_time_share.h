// One router's share of the slots of a target that has fewer slots than there
// are routers. Answers the load pattern of many routers before few small
// targets, whose calls are shorter than the time between two load summaries
// (design note 010).
#pragma once

#include <cstdint>

#include "framework/types/time.h"

namespace burdocklock::targets {

/// An account of slot time: filled with the router's part of the slots, charged
/// with the time that its requests are at the target. So the requests of all
/// routers there add up to the slots, times the allowance, whatever they take.
///
/// Invariants: the account holds at most one request's time; the allowance
/// stays within its limits.
class slot_time_share {
 public:
  /// How a request at the target ended.
  enum class ending { kAnswered, kRejected, kOther };

  /// `place` is the router's place at the target, 0 to 1: the first requests of
  /// all routers are spread by it.
  slot_time_share(double place, time_point now);
  slot_time_share() : slot_time_share(0, {}) {}

  /// `part` is the router's part of the target, in requests there. Returns
  /// whether a request may begin beside those `in_flight`.
  [[nodiscard]] bool MayBegin(double part,
                              std::uint32_t in_flight,
                              time_point now) const;
  /// The account is not overdrawn from then on; kNever without any part.
  [[nodiscard]] time_point NextBegin(double part, time_point now) const;
  /// Fills the account for the time up to now, before the part changes.
  void Settle(double part, time_point now);
  /// The router may use the target anew, perhaps together with others.
  void Restart(double part);
  void OnBegun(double part, std::uint32_t in_flight, time_point now);
  /// Corrects what was charged for the request when it began.
  void OnEnded(duration at_target, ending how, time_point now);
  /// Whether those `in_flight` have been there for much longer than others.
  [[nodiscard]] bool IsStuck(std::uint32_t in_flight, time_point now) const;

  /// Whether the rejection just recorded says that the target is full. Several
  /// without an answer between them say that it has failed.
  [[nodiscard]] bool IsFull() const {
    return has_answered_ && rejections_in_a_row_ < kFailingRejections;
  }

 private:
  static constexpr std::uint32_t kFailingRejections = 3;
  /// Of a target that has not answered yet.
  static constexpr double kFirstEstimateS = 0.03;

  [[nodiscard]] double BalanceAt(double part, time_point now) const;

  double place_;
  /// Slot-seconds; negative if overdrawn.
  double balance_s_;
  time_point filled_at_;
  /// When a request last ended, or began beside no other.
  time_point last_change_;
  /// Mean time that requests are at the target, in seconds.
  double estimate_s_ = kFirstEstimateS;
  std::uint32_t rejections_in_a_row_ = 0;
  bool has_answered_ = false;
};

}  // namespace burdocklock::targets
