// The targets a daemon knows, what it has in flight at each, and the choice
// among them.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/types/fleet_load.h"
#include "framework/i_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "targets/admission_ramp.h"
#include "targets/cold_admission.h"
#include "targets/prefix_memory.h"
#include "targets/types/announcement.h"
#include "targets/types/prompt.h"

namespace burdocklock::targets {

struct directory_options {
  data_centre_id local_data_centre;
  /// A target silent for this time gets no new work.
  duration silence = std::chrono::seconds(6);
  /// A target silent for this time is forgotten.
  duration retention = std::chrono::minutes(10);
  /// Limits come from leases (`ApplyLeases`) instead of this directory's own
  /// ramps.
  bool leased = false;
  ramp_options ramp;
  /// Name of this router, for its share of cold targets.
  daemon_id self;
};

enum class announce_result { kNew, kNewIncarnation, kUpdated, kStale };

constexpr const char* ToString(announce_result result) {
  switch (result) {
    case announce_result::kNew:
      return "new";
    case announce_result::kNewIncarnation:
      return "new_incarnation";
    case announce_result::kUpdated:
      return "updated";
    case announce_result::kStale:
      return "stale";
  }
  return "stale";
}

/// Permission to hold one request at a target; given back exactly once.
struct slot_grant {
  target_id target;
  incarnation life;
  endpoint address;
  ramp_epoch epoch;
  data_centre_id data_centre;
  /// Epoch of the lessor's ramp; evidence is reported under it.
  ramp_epoch lease_epoch;
  /// Names the grant among those of its target.
  std::uint64_t number = 0;
  /// Prompt tokens that the target had to read before the first output, those
  /// of earlier requests included.
  std::uint64_t tokens_ahead = 0;
};

/// Slots of one target that may be used.
struct target_lease {
  announcement target;
  std::uint32_t limit = 0;
  /// The lessor's ramp limit, for its successor.
  std::uint32_t ramp_limit = 0;
  ramp_epoch epoch;
};

/// What was seen of a target under one epoch of the lessor's ramp.
struct lease_evidence {
  target_id target;
  incarnation life;
  ramp_epoch epoch;
  std::uint32_t good = 0;
  std::uint32_t bad = 0;
  bool first_output_jumped = false;
};

/// Which targets a generation may go to.
struct prompt_urgency {
  /// Only those that probably keep its shared parts, if it has many.
  bool agreed_only = false;
  /// Only those that have hardly anything else to read.
  bool spare_only = false;
};

struct choice {
  slot_grant grant;
  /// Targets compared, the chosen one first.
  std::vector<target_id> considered;
  /// Of a generation: prompt tokens that the target probably has to read, and
  /// those of others before it.
  std::uint32_t unread_tokens = 0;
  std::uint64_t tokens_before = 0;
  /// Another target from which the chosen one can copy part of the prompt
  /// instead of reading it, and how many tokens.
  std::optional<endpoint> copy_from;
  std::uint32_t copied_tokens = 0;
};

/// One target as operators see it.
struct target_view {
  announcement announced;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  /// The lessor's ramp limit; equal to `limit` without leases.
  std::uint32_t ramp_limit = 0;
  ramp_phase phase = ramp_phase::kCold;
  bool silent = false;
  bool paused = false;
  duration since_heard{};
};

/// Invariants: in_flight of a target never exceeds its ramp limit at the time
/// of admission; a target that is not ready, silent, paused or in a data
/// centre that is out gets no grant.
class target_directory {
 public:
  target_directory(directory_options options, i_random& random);

  announce_result Announce(const announcement& announcement, time_point now);
  /// Takes a data centre out of service for new work, or back in. On return
  /// its targets count as cold.
  void SetDataCentreOut(const data_centre_id& data_centre,
                        bool out,
                        time_point now);
  [[nodiscard]] bool IsDataCentreOut(const data_centre_id& data_centre) const;
  [[nodiscard]] std::vector<data_centre_id> OutOfService() const;

  /// Targets that fell silent since the last call. Forgets those that have
  /// been silent for the retention period.
  std::vector<target_id> CollectSilent(time_point now);
  /// No target falls silent and no pause ends before this time.
  [[nodiscard]] time_point next_deadline() const { return next_deadline_; }

  /// Chooses a target of the pool that bears one more request: the better of
  /// two at random in the local data centre, else the same elsewhere. Targets
  /// in `excluded` are taken only if no other target of the pool is usable.
  std::optional<choice> Choose(const pool_id& pool,
                               const std::vector<target_id>& excluded,
                               time_point now);
  /// As above for a generation: the target that will probably begin to answer
  /// first, from the prompts that it has yet to read and those that it keeps.
  std::optional<choice> ChooseForPrompt(const pool_id& pool,
                                        const std::vector<target_id>& excluded,
                                        const prompt& prompt,
                                        prompt_urgency urgency,
                                        time_point now);
  /// What targets of the pool bear while cold.
  void SetColdTerms(const pool_id& pool, const cold_limits& terms);
  /// Tokens that a target of the pool keeps.
  void SetMemory(const pool_id& pool, std::uint64_t tokens);
  /// Whether targets of the pool copy parts of prompts from each other.
  void SetCopying(const pool_id& pool, bool copies);
  /// The routers that share the targets, this one included.
  void SetRouters(std::vector<daemon_id> routers);
  /// Work of the other routers at each target.
  void SetOthersLoad(const std::vector<admission::target_load>& others);
  /// This router's part of the prompt tokens that a target may have waiting.
  void SetOwnPart(double part) { own_part_ = part; }
  /// Prompt tokens that targets were sent to read, since the start.
  [[nodiscard]] std::uint64_t granted_tokens() const { return granted_tokens_; }
  /// Own work at each target that has any.
  [[nodiscard]] std::vector<admission::target_load> OwnLoad() const;
  /// Another process answers at the target's address.
  void NoteGone(const slot_grant& grant);
  /// Nothing can be heard of any target at present: silence means nothing.
  void ExcuseSilence(time_point now);

  /// Evidence on a granted slot; `Release*` also gives it back.
  /// Returns true if the target was found to have turned cold.
  bool ReportFirstOutput(const slot_grant& grant, duration latency);
  /// Returns true if the target's limit rose.
  bool ReleaseGood(const slot_grant& grant);
  void ReleaseBad(const slot_grant& grant, time_point now);
  /// The request ended for reasons that say nothing about the target.
  void ReleaseNeutral(const slot_grant& grant);

  /// Replaces the leases on targets of one data centre; they hold until
  /// `valid_until`.
  void ApplyLeases(const data_centre_id& data_centre,
                   const std::vector<target_lease>& leases,
                   time_point valid_until,
                   time_point now);
  /// What this router holds of that data centre's targets.
  struct held_lease {
    target_id target;
    incarnation life;
    std::uint32_t limit = 0;
    std::uint32_t in_use = 0;
    std::uint32_t ramp_limit = 0;
  };
  [[nodiscard]] std::vector<held_lease> Leases(
      const data_centre_id& data_centre) const;
  /// The lessor should learn something at once: a failure, enough good answers
  /// to raise a limit, or that a revoked slot has become free.
  [[nodiscard]] bool HasUrgentEvidence() const;
  /// Gives up idle leased slots of the pool; true if there were any.
  bool ReturnIdle(const pool_id& pool);
  /// What was seen since the last call of targets in that data centre.
  std::vector<lease_evidence> TakeEvidence(const data_centre_id& data_centre);
  /// Leased slots of the pool that are free now.
  [[nodiscard]] std::uint32_t FreeLeased(const pool_id& pool,
                                         time_point now) const;
  /// Slots that lessors have for the pool; decides whether waiting can help.
  void SetPoolCapacity(const pool_id& pool, std::uint32_t slots);

  // Evidence collected by others, for a directory that leases slots out.
  void NoteGood(const target_id& target,
                incarnation life,
                ramp_epoch epoch,
                std::uint32_t count);
  void NoteBad(const target_id& target,
               incarnation life,
               ramp_epoch epoch,
               time_point now);
  void NoteJump(const target_id& target, incarnation life, ramp_epoch epoch);
  void RaiseLimit(const target_id& target,
                  incarnation life,
                  std::uint32_t limit);

  [[nodiscard]] std::vector<pool_id> Pools() const;
  /// Targets of the pool, usable or not, in order of their names.
  [[nodiscard]] std::vector<const announcement*> OfPool(
      const pool_id& pool) const;
  [[nodiscard]] bool IsUsable(const target_id& target, time_point now) const;
  /// The target's announcement if it is in that life; nullptr otherwise.
  [[nodiscard]] const announcement* FindLife(const target_id& target,
                                             incarnation life) const;
  /// Since when the target has announced itself without a gap of half the
  /// silence limit; kNever if it is not known.
  [[nodiscard]] time_point HeardSince(const target_id& target) const;
  [[nodiscard]] ramp_epoch RampEpoch(const target_id& target) const;

  /// True if some target of the pool can take work, now or once a slot frees.
  [[nodiscard]] bool HasUsable(const pool_id& pool, time_point now) const;
  /// Slots that ramp limits allow over usable targets of the pool.
  [[nodiscard]] std::uint32_t UsableSlots(const pool_id& pool,
                                          time_point now) const;

  [[nodiscard]] std::vector<target_view> View(time_point now) const;
  [[nodiscard]] std::optional<std::uint32_t> RampLimit(
      const target_id& target) const;

 private:
  struct unread_prompt {
    std::uint32_t tokens = 0;
    std::vector<prompt_part> parts;
  };
  struct entry {
    announcement announced;
    admission_ramp ramp;
    std::uint32_t in_flight = 0;
    time_point last_heard;
    /// Start of the present run of announcements without a long gap.
    time_point heard_since;
    bool silence_reported = false;
    std::uint32_t lease_limit = 0;
    std::uint32_t lease_ramp_limit = 0;
    ramp_epoch lease_epoch;
    time_point lease_until{};
    /// The target is cold until then.
    time_point cold_until{};
    cold_bucket cold;
    prefix_memory prefixes{0};
    /// What is still to be read of each grant whose output has not begun.
    std::unordered_map<std::uint64_t, unread_prompt> unread;
    std::uint64_t unread_tokens = 0;
    std::uint32_t remote_in_flight = 0;
    std::uint64_t remote_unread_tokens = 0;
    /// Prompt tokens that the target reads in a millisecond, as observed.
    double tokens_per_ms = kDefaultTokensPerMs;
    bool replaced = false;
  };
  /// Of current engines; replaced by what is observed.
  static constexpr double kDefaultTokensPerMs = 55;
  struct candidates {
    std::vector<entry*> local;
    std::vector<entry*> remote;
    /// Usable only because nobody else is.
    std::vector<entry*> last_resort;
  };

  [[nodiscard]] candidates Candidates(const pool_id& pool,
                                      const std::vector<target_id>& excluded,
                                      time_point now);
  /// What sending a prompt to one target would mean.
  struct placement {
    entry* target = nullptr;
    /// Prompt tokens that it would have to read.
    std::uint32_t unread = 0;
    /// Prompt tokens that it would copy from `source`.
    std::uint32_t copied = 0;
    /// Keeps part of the prompt, in case the target does not.
    const entry* source = nullptr;
    double cost = std::numeric_limits<double>::max();
  };
  /// How much of a prompt some target keeps.
  struct prefix_holder {
    const entry* target = nullptr;
    std::uint32_t tokens = 0;
  };
  /// The two that keep most of a prompt; one of them may be chosen itself.
  using best_holders = std::array<prefix_holder, 2>;

  [[nodiscard]] placement EvaluatePlacement(
      entry& candidate,
      const prompt& prompt,
      const std::vector<const entry*>& preferred,
      const best_holders& holders) const;
  /// The usable targets that have read most of the prompt, as far as this
  /// router has sent it there; none if targets of the pool do not copy from
  /// each other.
  [[nodiscard]] best_holders BestHolders(const pool_id& pool,
                                         const prompt& prompt,
                                         time_point now) const;
  choice GrantPlacement(const placement& best,
                        const prompt& prompt,
                        std::vector<target_id> considered,
                        time_point now);
  choice Grant(entry& picked,
               std::vector<target_id> considered,
               time_point now);
  [[nodiscard]] double PlacementCost(const entry& entry,
                                     std::uint32_t unread) const;
  /// Prompt tokens that the target probably keeps.
  [[nodiscard]] static std::uint32_t EstimateCachedTokens(
      const entry& entry,
      const prompt& prompt,
      const std::vector<const target_directory::entry*>& preferred);
  [[nodiscard]] bool HasProcessingRoom(const entry& entry,
                                       std::uint32_t unread,
                                       prompt_urgency urgency) const;
  /// The targets to which all routers send prompts of that key first.
  [[nodiscard]] std::vector<const entry*> PreferredTargets(
      const pool_id& pool,
      std::uint64_t key,
      time_point now) const;
  static void UpdateProcessingRate(entry& entry,
                                   const slot_grant& grant,
                                   duration latency);
  [[nodiscard]] double ColdRate(const entry& entry) const;
  void ApplyColdPeriod(entry& entry, time_point now);
  void RemoveUnread(entry& entry, std::uint64_t grant);

  [[nodiscard]] bool IsUsable(const entry& entry, time_point now) const;
  [[nodiscard]] std::uint32_t LimitOf(const entry& entry) const;
  [[nodiscard]] bool HasRoom(const entry& entry, time_point now) const;
  [[nodiscard]] bool IsBetter(const entry& a, const entry& b) const;
  lease_evidence& EvidenceOf(const slot_grant& grant);
  entry* PickAmong(const std::vector<entry*>& candidates,
                   std::vector<target_id>& considered);
  entry* Find(const target_id& target, incarnation life);
  void IndexPools(entry& entry);
  void UnindexPools(entry& entry);
  bool IsStale(const entry& known, const announcement& announcement) const;
  void Replace(entry& known, const announcement& announcement);
  void Refresh(entry& known, const announcement& announcement);
  [[nodiscard]] time_point NextDeadlineOf(const entry& entry,
                                          time_point now) const;

  directory_options options_;
  i_random& random_;
  // Node-based, so that the pointers in the index stay valid.
  std::unordered_map<target_id, entry> entries_;
  std::unordered_map<pool_id, std::vector<entry*>> by_pool_;
  std::unordered_map<data_centre_id, bool> data_centres_out_;
  time_point next_deadline_ = kNever;
  std::unordered_map<pool_id, std::uint32_t> capacity_;
  std::unordered_map<pool_id, cold_limits> cold_limits_;
  std::unordered_map<pool_id, std::uint64_t> pool_memory_;
  /// Pools whose targets copy parts of prompts from each other.
  std::unordered_set<pool_id> copying_pools_;
  std::vector<daemon_id> routers_;
  std::uint64_t last_grant_ = 0;
  double own_part_ = 1;
  /// Prompt tokens granted so far.
  std::uint64_t granted_tokens_ = 0;
  std::vector<std::pair<data_centre_id, lease_evidence>> evidence_;
  /// A slot that was to be given back has become free since the last report.
  bool revoked_slot_freed_ = false;
};

}  // namespace burdocklock::targets
