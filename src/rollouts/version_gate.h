// Which software versions a router may use for new requests of a pool.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "rollouts/types/rollout.h"

namespace burdocklock::rollouts {

struct gate_options {
  /// This router, which determines where its credits start.
  daemon_id self;
  /// Without it nothing is held back and no rollout is known.
  bool enabled = false;
  /// A version that appears beside one known for as long is held back for this
  /// time, in which an order to move to it can be heard of.
  duration new_version_hold = std::chrono::seconds(2);
  /// A version that was reverted is used again, as by a later release, once no
  /// other one was announced for this time while it was.
  duration reverted_alone = std::chrono::seconds(15);
};

/// How a version may be used.
enum class version_use {
  kUsed,
  /// By requests that take it up by credit, and streams that began there.
  kByCredit,
  /// Only while no target of another version is usable.
  kLastResort,
  kNever,
};

/// Versions of a pool that new requests are not sent to.
struct avoided_versions {
  std::vector<software_version> never;
  /// Used while no target of another version is usable.
  std::vector<software_version> last_resort;
};

/// Deterministic. In any sequence of n first attempts with a part p, at most
/// p x n + 2 of a route go to the new version; over many routers p x n in the
/// mean.
class version_gate {
 public:
  explicit version_gate(gate_options options) : options_(std::move(options)) {}

  [[nodiscard]] bool enabled() const { return options_.enabled; }
  void SetRollouts(const rollout_map& rollouts);
  /// The leader's parts; those that it does not name lapse.
  void SetParts(const std::vector<rollout_part>& parts, time_point now);
  /// A target of the pool announced this version, or none, with which it counts
  /// as old.
  void OnVersionHeard(const pool_id& pool,
                      const software_version& version,
                      time_point now);

  [[nodiscard]] const rollout_map& rollouts() const { return rollouts_; }
  /// The rollout of the pool if it is in progress.
  [[nodiscard]] const rollout* InProgress(const pool_id& pool) const;
  /// Whether all versions of the pool may be used alike.
  [[nodiscard]] bool IsOpen(const pool_id& pool, time_point now) const;
  [[nodiscard]] version_use UseOf(const pool_id& pool,
                                  const software_version& version,
                                  time_point now) const;
  /// For requests that are not bound to a version.
  [[nodiscard]] avoided_versions Avoided(const pool_id& pool,
                                         time_point now) const;
  /// The version at which the next new request is to run, if a target of it has
  /// room.
  [[nodiscard]] std::optional<software_version>
  NextByCredit(const pool_id& pool, route_key route, time_point now) const;
  /// A request was sent for the first time.
  void OnFirstAttempt(const pool_id& pool,
                      route_key route,
                      const software_version& version,
                      time_point now);

 private:
  struct known_part {
    software_version version;
    double part = 0;
    std::map<route_key, double> weights;
    time_point until{};
  };
  struct heard {
    time_point first{};
    time_point latest{};
  };
  struct pool_versions {
    std::map<software_version, heard> versions;
    /// Until then a version may be held back.
    time_point hold_until{};
  };

  /// 0 if it is not known or has lapsed.
  [[nodiscard]] double PartOf(const rollout& known, time_point now) const;
  /// Whether the pool has targets of this version alone.
  [[nodiscard]] bool IsAlone(const pool_id& pool,
                             const software_version& version) const;
  [[nodiscard]] version_use UseWithoutOrder(const pool_id& pool,
                                            const software_version& version,
                                            time_point now) const;
  /// That of a route.
  [[nodiscard]] double PartOf(const rollout& known,
                              route_key route,
                              time_point now) const;
  [[nodiscard]] double CreditOf(const rollout_order& order,
                                route_key route) const;

  gate_options options_;
  rollout_map rollouts_;
  std::map<pool_id, known_part> parts_;
  /// Credits of the rollouts in progress, by route; those that had no request
  /// yet are absent.
  std::map<pool_id, std::map<route_key, double>> credits_;
  std::map<pool_id, pool_versions> heard_;
};

}  // namespace burdocklock::rollouts
