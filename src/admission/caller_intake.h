// How many callers one router takes, by its own headroom. Answers the load
// pattern of a crowd that the balancer sends to one router while others beside
// it are idle: it leaves the rotation before it delays callers, has some of
// those it holds go elsewhere, and never takes what its memory cannot hold.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "admission/types/router_use.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

namespace burdocklock::admission {

/// Without limits in `router_means`, takes all callers and moves none.
///
/// Invariants: what it estimates never exceeds `kUsableMemory` of the limit
/// after a call that it has admitted. It leaves the rotation only while its
/// callers ask three times what those of a router do in the mean, which a third
/// of all routers can have at most; if the mean is not known, it is out for a
/// tenth of the time at most. Whatever the mean, it is out while callers wait
/// long to be accepted.
///
/// Used on the event loop's thread.
class caller_intake {
 public:
  /// `phase` differs between routers, so that they do not return together.
  caller_intake(const router_means& means, std::uint64_t phase);

  /// Records that the event loop was busy for `busy` before it waited again.
  void OnTurn(duration busy, time_point now);
  /// Records that a caller had waited for `wait` to be accepted.
  void OnCallerWait(duration wait);
  /// Records what is in use; to be called each `kUsePeriod`.
  void OnUse(const router_use& use, time_point now);
  /// Returns whether memory and, while the processor is busy, processor time
  /// are left for one more call of the customer. Beyond the limit, a customer
  /// has room while it has less than its equal part in progress.
  [[nodiscard]] bool HasRoomForCall(const customer_id& customer,
                                    const router_use& use) const;
  void OnCallBegan(const customer_id& customer);
  void OnCallEnded(const customer_id& customer);
  /// Calls that may be in progress at the same time.
  [[nodiscard]] std::uint32_t MaxCalls(const router_use& use) const;
  [[nodiscard]] std::uint32_t calls() const { return calls_; }
  /// Whether new callers should come here.
  [[nodiscard]] bool TakesCallers() const { return !out_since_; }
  /// Connections of callers that may be open at the same time.
  [[nodiscard]] std::uint32_t max_connections() const {
    return max_connections_;
  }
  /// Returns whether a connection whose answer is being written should be
  /// closed after it, so that its caller goes to another router.
  bool MovesCaller(time_point now);
  /// Whether the callers of refused calls would reach another router if their
  /// connections were closed.
  [[nodiscard]] bool MovesRefused(time_point now) const;

  /// Estimated memory of the process in that use.
  [[nodiscard]] std::size_t MemoryOf(const router_use& use) const;
  /// Fraction of the time for which the event loop was busy, lately.
  [[nodiscard]] double utilisation() const { return utilisation_; }
  /// Whether most calls would find no room.
  [[nodiscard]] bool TurnsAway(const router_use& use) const;
  [[nodiscard]] bool limited() const { return means_.limited(); }
  [[nodiscard]] std::uint64_t moved() const { return moved_; }

  static constexpr std::chrono::milliseconds kUsePeriod{100};
  /// Part of the memory limit that may be used: the rest is for what the system
  /// counts beside, bytes not yet read and what the allocator keeps.
  static constexpr double kUsableMemory = 0.8;

 private:
  /// Whether calls may find no room for want of processor time.
  [[nodiscard]] bool IsBusy() const;
  [[nodiscard]] double MaxCallsByMemory(const router_use& use) const;
  [[nodiscard]] double MaxCallsByProcessor(const router_use& use) const;
  void LearnCallLoad();
  void UpdatePartForCalls();
  void UpdateAllowance(time_point now);
  void UpdateRotation(const router_use& use, time_point now);
  /// The part of its means that is used most: 1 if all of it.
  [[nodiscard]] double Fullness(const router_use& use) const;
  void UpdateMaxConnections();

  router_means means_;
  duration return_jitter_;
  std::uint32_t max_connections_;
  /// Memory of the process without callers.
  std::size_t base_bytes_;
  double utilisation_ = 0;
  /// Since what is in use was last recorded.
  duration longest_wait_{};
  std::uint32_t calls_ = 0;
  /// Customers with calls in progress.
  std::unordered_map<customer_id, std::uint32_t> calls_of_;
  /// Utilisation by one call in progress; 0 until it is known.
  double call_load_ = 0;
  /// Utilisation with hardly a call in progress.
  double idle_load_ = 0;
  /// Part of the processor for calls; the rest goes to refusals.
  double for_calls_;
  std::optional<time_point> crowded_since_;
  std::optional<time_point> calm_since_;
  std::optional<time_point> out_since_;
  /// Time for which the router may be out of rotation.
  duration out_allowance_;
  time_point updated_{};
  /// Adds up the parts of connections that should move.
  double to_move_ = 0;
  std::uint64_t moved_ = 0;
  /// Mean turn that a caller met in the last window.
  duration met_turn_{};
  // Of the current window of turns.
  /// Sum of the squared turns, in seconds squared.
  double squared_turns_ = 0;
  time_point window_started_{};
  duration busy_{};
};

}  // namespace burdocklock::admission
