// Directory of known targets. Tracks their state and the requests in flight,
// and selects targets for new requests.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "admission/types/fleet_load.h"
#include "framework/i_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/admission_ramp.h"
#include "targets/known_target.h"
#include "targets/pool_targets.h"
#include "targets/types/announcement.h"
#include "targets/types/directory_options.h"
#include "targets/types/lease.h"
#include "targets/types/placement.h"
#include "targets/types/prompt.h"
#include "targets/types/target_view.h"

namespace burdocklock::targets {

/// Invariants: the requests in flight at a target never exceed its limit at the
/// time of admission; no grant is issued for a target that is not ready,
/// silent, paused or in a data centre out of service, that has said in an
/// answer that it leaves, or that has asked for a pause.
class target_directory {
 public:
  target_directory(directory_options options, i_random& random);

  announce_result Announce(const announcement& announcement, time_point now) {
    return Announce(announcement, now, now);
  }
  /// As above, for an announcement that was passed on: a control host received
  /// it at `heard`.
  announce_result Announce(const announcement& announcement,
                           time_point heard,
                           time_point now);
  /// Takes a data centre out of service for new requests, or returns it to
  /// service. After the return its targets are treated as cold.
  void SetDataCentreOut(const data_centre_id& data_centre,
                        bool out,
                        time_point now);
  [[nodiscard]] bool IsDataCentreOut(const data_centre_id& data_centre) const;
  [[nodiscard]] std::vector<data_centre_id> OutOfService() const;

  /// Returns the targets that have become silent since the last call. Removes
  /// those that have been silent for the retention period.
  std::vector<target_id> CollectSilent(time_point now);
  /// No target becomes silent and no pause ends before this time.
  [[nodiscard]] time_point next_deadline() const { return next_deadline_; }

  /// Selects a target of the pool that has a free slot: the less loaded of two
  /// random targets in the local data centre, else of two in other data
  /// centres. Targets in `excluded` are used only if no other target of the
  /// pool is usable. With a version, other targets do not count. With `only`,
  /// just that target is considered, unless it is excluded.
  std::optional<choice> Choose(
      const pool_id& pool,
      const std::vector<target_id>& excluded,
      time_point now,
      const std::optional<software_version>& version = std::nullopt,
      const std::optional<target_id>& only = std::nullopt,
      const std::vector<software_version>& avoided = {});
  /// As above for a generation: selects the target with the shortest expected
  /// time to first output, given its backlog of prompts and the parts that it
  /// has cached.
  std::optional<choice> ChooseForPrompt(
      const pool_id& pool,
      const std::vector<target_id>& excluded,
      const prompt& prompt,
      const placement_constraints& constraints,
      time_point now);
  /// Returns whether not all slots of the pool's targets are in use.
  [[nodiscard]] bool HasOpenTarget(const pool_id& pool) const;
  /// Returns the pools that the target announces; none if it is unknown.
  [[nodiscard]] std::vector<pool_id> PoolsOf(const target_id& target) const;
  /// Returns whether the target is usable and has room for a request.
  [[nodiscard]] bool HasRoomAt(const target_id& target, time_point now) const;
  /// Sets the limits for cold targets of the pool.
  void SetColdLimits(const pool_id& pool, const cold_limits& terms);
  /// Sets the KV cache size of targets of the pool, in tokens.
  void SetCacheCapacity(const pool_id& pool, std::uint64_t tokens);
  /// Sets whether targets of the pool can copy cached prompt parts from each
  /// other.
  void SetPrefixCopying(const pool_id& pool, bool copies);
  /// Sets the routers that share the targets, including this one.
  void SetRouters(std::vector<daemon_id> routers);
  /// Sets the load of the other routers at each target.
  void SetRemoteLoad(const std::vector<admission::target_load>& others,
                     time_point now);
  /// Sets how this router shares the pool's targets with the others.
  void SetCompetition(const pool_id& pool, const pool_competition& terms) {
    competition_[pool] = terms;
  }
  /// Sets how it shares them while the others' load is unknown.
  void SetUnknownCompetition(double own_fraction) {
    competition_.clear();
    default_competition_ = {.own_fraction = own_fraction};
  }
  // Slots of small targets without prompts (slot_time.cc).

  /// Sets this router's part of the demand on the pool, now that the others'
  /// demand is known, and which slots of the usable targets follow from it.
  void SetDemandPart(const pool_id& pool,
                     const demand_part& part,
                     time_point now);
  /// Whether routers share the time of such a target's slots.
  [[nodiscard]] bool SharesSlotTime(const announcement& announcement) const;
  /// Whether the pool has targets of a service with fewer slots than routers.
  [[nodiscard]] bool HasSmallTargets(const pool_id& pool) const;
  /// When a share of slot time next lets a request of the pool begin; kNever if
  /// none is all that keeps one from it.
  [[nodiscard]] time_point NextSlotTime(const pool_id& pool,
                                        time_point now) const;
  /// A granted request ended after `at_target`. Call before the grant is
  /// released. Returns whether a rejection only says that the target is full,
  /// which is no sign against it.
  bool OnSlotTimeEnded(const slot_grant& grant,
                       duration at_target,
                       slot_time_share::ending how,
                       time_point now);

  /// An answer of the target that arrived at `received` names its rate limit,
  /// in requests per second from all routers together, or none. Returns whether
  /// that is new. An answer older than one known already changes nothing.
  bool ReportRateLimit(const slot_grant& grant,
                       std::optional<double> per_second,
                       time_point received);
  /// Sets which part of its share of named rate limits this router uses, 0 to
  /// 1.
  void SetRateFraction(double part) { rate_fraction_ = part; }
  /// Total number of prompt tokens sent to targets for processing.
  [[nodiscard]] std::uint64_t granted_tokens() const { return granted_tokens_; }
  /// Returns the load of this router at each target that it uses.
  [[nodiscard]] std::vector<admission::target_load> LocalLoad(
      time_point now) const;
  // What targets say in their answers (target_answers.cc).

  /// The target said that it leaves, which is final within its incarnation.
  /// Returns whether that is new.
  bool ReportLeaving(const slot_grant& grant);
  /// A target other than the granted one said so at the granted address.
  void ReportOtherLeaving(const slot_grant& grant);
  /// The target wants no requests from this router for `pause` from `received`.
  /// A later end that is known already holds. Its ramp takes this for a
  /// failure.
  enum class pause_report { kNone, kBegan, kExtended };
  pause_report ReportPause(const slot_grant& grant,
                           duration pause,
                           time_point received,
                           time_point now);
  /// Returns whether the target announces or has said that it leaves.
  [[nodiscard]] bool IsLeaving(const slot_grant& grant) const;
  /// Returns whether all targets of the pool that could be used leave, and at
  /// least one does.
  [[nodiscard]] bool AllLeave(const pool_id& pool, time_point now) const;
  /// Returns when the first pause ends that targets of the pool have asked for;
  /// nullopt if none has, or another target is usable now or after failures.
  [[nodiscard]] std::optional<time_point> FirstPauseEnd(const pool_id& pool,
                                                        time_point now) const;

  /// Records that another process answers at the target's address.
  void MarkReplaced(const slot_grant& grant);
  /// Records that the target's address refuses connections. It is not used
  /// until a later announcement of it arrives.
  void MarkUnreachable(const slot_grant& grant, time_point now);
  /// Records that a stream broke off at the target, which may have started
  /// again at another software version. It gets no stream that began there
  /// until a later announcement of it arrives.
  void MarkBroken(const slot_grant& grant, time_point now);
  /// This process did not run for `time` until now and could not hear targets:
  /// that does not count as their silence.
  void OnSuspended(duration time, time_point now);
  /// Restarts the silence timers; used while announcements cannot be received
  /// from any target.
  void RestartSilenceTimers(time_point now);

  /// Records the first output of a granted request. Returns true if the target
  /// was found to have become cold.
  bool ReportFirstOutput(const slot_grant& grant, duration latency);
  /// A plain call of the grant was answered after `latency`. Returns whether
  /// operators are to be told of the target's learned limit.
  bool ReportServed(const slot_grant& grant, duration latency, time_point now);
  /// Returns the limit learned for the target; its slots if there is none.
  [[nodiscard]] std::optional<std::uint32_t> LearnedLimit(
      const target_id& target) const;
  /// Returns and clears what was learned of targets since the last call and is
  /// worth a report.
  std::vector<admission::learned_speed> TakeLearned(time_point now);
  /// Takes over what all routers together have learned.
  void SetLearned(const std::vector<admission::learned_speed>& learned,
                  time_point now);
  /// Releases the slot of a successful request. Returns true if the target's
  /// limit was raised.
  bool ReleaseSucceeded(const slot_grant& grant);
  void ReleaseFailed(const slot_grant& grant, time_point now);
  /// Releases the slot of a request that ended for reasons unrelated to the
  /// target.
  void ReleaseNeutral(const slot_grant& grant);

  /// Replaces the leases on targets of one data centre; they expire at
  /// `valid_until`.
  void ApplyLeases(const data_centre_id& data_centre,
                   const std::vector<target_lease>& leases,
                   time_point valid_until,
                   time_point now);
  /// A lease that this router holds on a target.
  struct held_lease {
    target_id target;
    incarnation life;
    std::uint32_t limit = 0;
    std::uint32_t in_use = 0;
    std::uint32_t ramp_limit = 0;
  };
  [[nodiscard]] std::vector<held_lease> Leases(
      const data_centre_id& data_centre) const;
  /// Returns whether there are results to report to the lessor at once: a
  /// failure or latency jump, enough successes to raise a limit, or a revoked
  /// slot that has become free.
  [[nodiscard]] bool HasUrgentEvidence() const;
  /// Gives up idle leased slots of the pool. Returns whether there were any.
  bool ReleaseIdleLeases(const pool_id& pool);
  /// Returns and clears the results collected for targets of the data centre.
  std::vector<lease_evidence> TakeEvidence(const data_centre_id& data_centre);
  /// Returns the number of free leased slots of the pool.
  [[nodiscard]] std::uint32_t FreeLeased(const pool_id& pool,
                                         time_point now) const;
  /// Sets the number of slots that lessors have for the pool; without any,
  /// requests need not wait.
  void SetPoolCapacity(const pool_id& pool, std::uint32_t slots);

  // Results reported by routers to a directory that leases slots out.
  void RecordSuccesses(const target_id& target,
                       incarnation life,
                       ramp_epoch epoch,
                       std::uint32_t count);
  void RecordFailure(const target_id& target,
                     incarnation life,
                     ramp_epoch epoch,
                     time_point now);
  void RecordLatencyJump(const target_id& target,
                         incarnation life,
                         ramp_epoch epoch);
  void RaiseLimit(const target_id& target,
                  incarnation life,
                  std::uint32_t limit);

  [[nodiscard]] std::vector<pool_id> Pools() const;
  /// Returns all targets of the pool, usable or not, sorted by name.
  [[nodiscard]] std::vector<const announcement*> TargetsInPool(
      const pool_id& pool) const;
  [[nodiscard]] bool IsUsable(const target_id& target, time_point now) const;
  /// Returns the target's announcement if it is of that incarnation; nullptr
  /// otherwise.
  [[nodiscard]] const announcement* FindIncarnation(const target_id& target,
                                                    incarnation life) const;
  /// Returns the time since which the target has announced itself without gaps
  /// longer than half the silence limit; kNever if the target is unknown.
  [[nodiscard]] time_point HeardSince(const target_id& target) const;
  [[nodiscard]] ramp_epoch RampEpoch(const target_id& target) const;
  /// As the target last named it; nullopt if the target is unknown.
  [[nodiscard]] std::optional<software_version> VersionOf(
      const target_id& target) const;

  /// Returns whether the pool has a target of this software version that can
  /// take requests, now or later: it has neither left nor fallen silent. Also
  /// true while this directory is too new to have heard of all targets and has
  /// not heard of this version.
  [[nodiscard]] bool HasVersion(const pool_id& pool,
                                const software_version& version,
                                time_point now) const;
  /// Returns whether targets of the pool are known and none names a version.
  [[nodiscard]] bool NamesNoVersions(const pool_id& pool) const;
  /// Returns whether the pool has a target that can take requests, now or once
  /// a slot is released.
  [[nodiscard]] bool HasUsable(const pool_id& pool, time_point now) const;
  /// As above, for a target that is not among `tried`, of this software version
  /// if one is given.
  [[nodiscard]] bool HasUsableOther(
      const pool_id& pool,
      const std::vector<target_id>& tried,
      const std::optional<software_version>& version,
      time_point now,
      const std::vector<software_version>& avoided = {}) const;
  /// Returns whether the target was in its cold period at `at`.
  [[nodiscard]] bool WasCold(const slot_grant& grant, time_point at) const;
  /// Returns the sum of the ramp limits of the usable targets of the pool.
  [[nodiscard]] std::uint32_t UsableSlots(const pool_id& pool,
                                          time_point now) const;

  /// Returns the throughput of the targets of the pool in service, given that
  /// of a slot, where a named rate limit admits requests of this cost. Those
  /// that asked this router for a pause work for other routers and count.
  [[nodiscard]] double UsableThroughput(const pool_id& pool,
                                        double per_slot,
                                        double request_cost,
                                        time_point now) const;
  /// Returns the sum of the slots that these targets announce.
  [[nodiscard]] std::uint32_t AnnouncedSlots(const pool_id& pool,
                                             time_point now) const;
  /// Targets of these software versions count in neither of both from now on.
  void SetSpareVersions(const pool_id& pool,
                        std::vector<software_version> versions);

  [[nodiscard]] std::vector<target_view> View(time_point now) const;
  [[nodiscard]] std::optional<std::uint32_t> RampLimit(
      const target_id& target) const;

 private:
  using entry = known_target;
  /// Targets that one decision compares at most, beside the likely ones.
  static constexpr std::size_t kMaxCompared = 64;

  struct candidates {
    std::vector<entry*> local;
    std::vector<entry*> remote;
    /// Excluded targets; used only if no other target is usable.
    std::vector<entry*> last_resort;
  };

  /// Returns open targets with room; of many, a random part, and `compared` at
  /// most in the local data centre and in others. With `constraints.only`, at
  /// most that target.
  [[nodiscard]] candidates Candidates(const pool_id& pool,
                                      const std::vector<target_id>& excluded,
                                      const placement_constraints& constraints,
                                      std::size_t compared,
                                      time_point now);
  /// How many targets to compare for a prompt.
  [[nodiscard]] std::size_t ComparedTargets(
      const pool_id& pool,
      const pool_competition& competition) const;
  /// Adds the target to the candidates, if it has room.
  void AddCandidate(entry& candidate,
                    const std::vector<target_id>& excluded,
                    const pool_competition& competition,
                    time_point now,
                    candidates& found) const;
  /// Adds it to the local, the remote or the excluded ones.
  static void AddToGroup(entry& candidate,
                         const std::vector<target_id>& excluded,
                         candidates& found);
  /// Evaluation of sending a prompt to one target.
  struct placement {
    entry* target = nullptr;
    /// Prompt tokens that the target would have to process.
    std::uint32_t unread = 0;
    /// Prompt tokens that the target would copy from `source`.
    std::uint32_t copied = 0;
    /// Another target that has part of the prompt cached.
    const entry* source = nullptr;
    double cost = std::numeric_limits<double>::max();
  };
  /// How much of a prompt a target has cached.
  struct prefix_holder {
    entry* target = nullptr;
    std::uint32_t tokens = 0;
  };
  /// The two targets with the most of a prompt cached. Two, because one of them
  /// may be the candidate itself.
  using best_holders = std::array<prefix_holder, 2>;
  /// What targets of different software versions have cached does not fit
  /// together.
  struct version_holders {
    const software_version* version = nullptr;
    best_holders best;
  };
  using pool_holders = std::vector<version_holders>;

  [[nodiscard]] placement EvaluatePlacement(
      entry& candidate,
      const prompt& prompt,
      const std::vector<entry*>& preferred,
      const pool_holders& holders) const;
  /// Returns, for each software version, the usable targets that have processed
  /// most of the prompt, judging by what this router sent them; none if targets
  /// of the pool do not copy from each other.
  [[nodiscard]] pool_holders BestHolders(const pool_id& pool,
                                         const prompt& prompt,
                                         time_point now);
  static void AddHolder(entry& holder,
                        const prompt& prompt,
                        pool_holders& holders);
  /// Adds the preferred targets and the holders to a random part of the
  /// candidates.
  void AddLikely(const std::vector<entry*>& preferred,
                 const pool_holders& holders,
                 const std::vector<target_id>& excluded,
                 const placement_constraints& constraints,
                 const pool_competition& competition,
                 time_point now,
                 std::vector<entry*>& all) const;
  choice GrantPlacement(const placement& best,
                        const pool_id& pool,
                        const prompt& prompt,
                        std::vector<target_id> considered,
                        time_point now);
  choice Grant(entry& picked,
               std::vector<target_id> considered,
               time_point now);
  [[nodiscard]] double PlacementCost(const entry& entry,
                                     std::uint32_t unread) const;
  /// Estimates the prompt tokens that the target has cached.
  [[nodiscard]] static std::uint32_t EstimateCachedTokens(
      const entry& entry,
      const prompt& prompt,
      const std::vector<target_directory::entry*>& preferred);
  [[nodiscard]] bool HasProcessingRoom(const entry& entry,
                                       std::uint32_t unread,
                                       const placement_constraints& constraints,
                                       const pool_competition& competition,
                                       double claimed) const;
  [[nodiscard]] const pool_competition& CompetitionFor(
      const pool_id& pool) const;
  /// Whether this router may use one more slot of the target while requests
  /// wait at others.
  [[nodiscard]] bool HasSlotPart(const entry& entry,
                                 const pool_competition& competition) const;
  /// Whether there are more routers than slots, so that each router may send to
  /// some of the targets only: if all sent to the targets that had most room in
  /// the last report, these would have to reject most of it.
  [[nodiscard]] bool IsSharedOut(const entry& entry,
                                 const pool_competition& competition) const;
  /// Whether this router may use one more slot of such a target, of those that
  /// were free in the last report.
  [[nodiscard]] bool HasFreePart(const entry& entry,
                                 const pool_competition& competition) const;
  /// Each usable target's part of the tokens that wait at other routers.
  [[nodiscard]] double ClaimedTokens(const pool_id& pool,
                                     const pool_competition& competition,
                                     time_point now) const;
  /// Returns the targets that all routers prefer for prompts with this key.
  [[nodiscard]] std::vector<entry*> PreferredTargets(const pool_id& pool,
                                                     std::uint64_t key,
                                                     time_point now) const;
  static void UpdateProcessingRate(entry& entry,
                                   const slot_grant& grant,
                                   duration latency);
  [[nodiscard]] double ColdRate(const entry& entry) const;
  /// Whether it is a service's and has fewer slots than there are routers.
  [[nodiscard]] bool IsSmall(const announcement& announcement) const;
  /// Derives whether routers share the time of the target's slots.
  void UpdateSlotTime(entry& entry);
  /// Whether all routers know the target to be ready, although it may not be
  /// usable for this one.
  [[nodiscard]] bool IsKnownReady(const entry& entry, time_point now) const;
  /// Whether this router may use its part of the target now.
  [[nodiscard]] bool MayHold(const entry& entry, time_point now) const;
  /// Gives each pool of the target a part of it by the pool's demand, after
  /// this router's parts were derived as if `derived` had the target alone.
  void ShareAmongPools(entry& target, const pool_id& derived) const;
  /// Lays the routers' parts of the demand over the targets' slots, in the
  /// order of their names, so that each router uses as few targets as possible.
  /// Returns what part is at targets that this router cannot use now.
  double DivideSlots(const std::vector<entry*>& targets,
                     const demand_part& part,
                     time_point now) const;
  /// Divides a part among the usable targets.
  void SpreadSlots(const std::vector<entry*>& targets,
                   double part,
                   time_point now) const;
  void ApplyColdPeriod(entry& entry, time_point now);
  void RemoveUnread(entry& entry, std::uint64_t grant);

  /// Whether the target may run what is restricted to the version.
  [[nodiscard]] static bool Fits(
      const entry& entry,
      const std::optional<software_version>& version);
  [[nodiscard]] static bool Fits(const entry& entry,
                                 const std::optional<software_version>& version,
                                 const std::vector<software_version>& avoided);
  /// Whether the target is known to be there, although it may be starting or
  /// paused.
  [[nodiscard]] bool MayServe(const entry& entry, time_point now) const;
  /// Whether targets of a version that is not known may still be heard of.
  [[nodiscard]] bool IsNew(time_point now) const;
  [[nodiscard]] bool IsUsable(const entry& entry, time_point now) const;
  /// Whether the target could be used but for a pause that it asked for.
  [[nodiscard]] bool IsInService(const entry& entry, time_point now) const;
  /// Whether it counts in the pool's capacity.
  [[nodiscard]] bool IsCounted(const pool_id& pool,
                               const entry& entry,
                               time_point now) const;
  /// Whether it could be used but for pauses, asked for or after failures.
  [[nodiscard]] bool IsPresent(const entry& entry, time_point now) const;
  static bool IsLeaving(const entry& entry);
  [[nodiscard]] std::uint32_t UsableTargets(const pool_id& pool,
                                            time_point now) const;
  /// Returns the sum of `slots_of` over the usable targets of the pool.
  template <typename SlotsOf>
  std::uint32_t SumUsable(const pool_id& pool,
                          time_point now,
                          SlotsOf slots_of) const;
  [[nodiscard]] std::uint32_t LimitOf(const entry& entry) const;
  [[nodiscard]] bool HasRoom(const entry& entry,
                             bool is_retry,
                             time_point now) const;
  [[nodiscard]] bool IsBetter(const entry& a, const entry& b) const;
  lease_evidence& EvidenceOf(const slot_grant& grant);
  entry* PickAmong(const std::vector<entry*>& candidates,
                   std::vector<target_id>& considered,
                   time_point now);
  /// Selects by expected time; nullptr if the targets' speeds are not known to
  /// differ.
  entry* PickByLearnedTime(const std::vector<entry*>& candidates,
                           time_point now);
  /// Whether the learned limit has changed notably since it was last told.
  static bool HasNotableLimit(entry& known, time_point now);
  /// Expected time of one more plain call; nullopt if nothing is known.
  static std::optional<double> ExpectedMs(const entry& entry);
  void SmoothRemoteLoad(time_point now);
  /// The target with the shortest expected time.
  static entry* FastestOf(const std::vector<entry*>& candidates,
                          double least_base_ms);
  /// Fills the fastest targets first with the calls of all routers, as far as
  /// these can be known, and returns a random one in proportion.
  entry* DrawByRate(const std::vector<entry*>& candidates,
                    double least_base_ms);
  /// Returns a target of which too little is known, to be sent one call.
  entry* FindUnprobed(const std::vector<entry*>& candidates, time_point now);
  entry* Find(const target_id& target, incarnation life);
  /// Returns nullptr if the target has been replaced since the grant.
  entry* Find(const slot_grant& grant);
  void IndexPools(entry& entry);
  void UnindexPools(entry& entry);
  /// Call when the use of the target's slots, or their number, has changed.
  void UpdateOpen(entry& entry);
  /// Derives what depends on the target's data centre.
  void UpdateDataCentre(entry& entry) const;
  /// Takes over a further announcement of the same run, and its pools.
  void AdoptIndexed(entry& known, const announcement& announcement);
  bool IsStale(const entry& known, const announcement& announcement) const;
  /// Whether the announcement, which is not stale, is of another run of the
  /// target's software than the known one.
  static bool IsOtherRun(const announcement& known, const announcement& update);
  void NoteVersion(const announcement& announcement,
                   time_point heard,
                   time_point now);
  void Replace(entry& known, const announcement& announcement);
  void Refresh(entry& known, const announcement& announcement);
  /// Takes note that an announcement was received at `heard`.
  void NoteHeard(entry& known, time_point heard, time_point now);
  /// Takes over what a further announcement of the same run says.
  static void Adopt(entry& known, const announcement& announcement);
  [[nodiscard]] time_point NextDeadlineOf(const entry& entry,
                                          time_point now) const;

  directory_options options_;
  i_random& random_;
  // Node-based container, so that the pointers in `by_pool_` stay valid.
  std::unordered_map<target_id, entry> entries_;
  std::unordered_map<pool_id, pool_targets> by_pool_;
  std::unordered_map<data_centre_id, bool> data_centres_out_;
  time_point next_deadline_ = kNever;
  std::unordered_map<pool_id, std::uint32_t> capacity_;
  std::unordered_map<pool_id, cold_limits> cold_limits_;
  std::unordered_map<pool_id, std::uint64_t> pool_memory_;
  std::unordered_map<pool_id, pool_competition> competition_;
  pool_competition default_competition_;
  /// This router's parts of the demand on pools, where it is known.
  std::unordered_map<pool_id, demand_part> demand_parts_;
  /// Pools whose targets copy cached prompt parts from each other.
  std::unordered_set<pool_id> copying_pools_;
  std::vector<daemon_id> routers_;
  /// When the other routers' load was last received.
  time_point remote_load_at_{};
  /// Time of the first announcement.
  std::optional<time_point> first_heard_;
  /// Versions that get a part of the requests at most; no list is empty.
  std::unordered_map<pool_id, std::vector<software_version>> spare_versions_;
  /// Software versions announced while the directory was new.
  std::set<std::pair<pool_id, software_version>> early_versions_;
  std::uint64_t last_grant_ = 0;
  double rate_fraction_ = 1;
  std::uint64_t granted_tokens_ = 0;
  std::vector<std::pair<data_centre_id, lease_evidence>> evidence_;
  /// Whether a revoked slot has become free since the last report.
  bool revoked_slot_freed_ = false;
};

}  // namespace burdocklock::targets
