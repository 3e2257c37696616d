// Routing decisions of one daemon: the order in which waiting requests are
// dispatched, the choice of target and the handling of failures.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/share_limiter.h"
#include "admission/types/fleet_load.h"
#include "crashes/prompt_guard.h"
#include "crashes/types/request_suspects.h"
#include "fairness/fair_queue.h"
#include "framework/i_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "refusals/refusal_numbers.h"
#include "refusals/types/refusal.h"
#include "rollouts/types/outcomes.h"
#include "rollouts/types/rollout.h"
#include "rollouts/version_gate.h"
#include "rollouts/version_outcomes.h"
#include "routing/i_routing_observer.h"
#include "routing/request_lifecycle.h"
#include "routing/retry_budget.h"
#include "routing/types/aborted_requests.h"
#include "routing/types/attempt.h"
#include "routing/types/drain_window.h"
#include "routing/types/effect.h"
#include "routing/types/pool_state.h"
#include "routing/types/request.h"
#include "routing/types/request_record.h"
#include "streams/types/stream_origin.h"
#include "targets/target_directory.h"

namespace burdocklock::routing {

class dispatch_pass;

struct router_options {
  lifecycle_options lifecycle;
  retry_budget_options retries;
  targets::directory_options directory;
  std::uint32_t max_queued_per_customer = 64;
  std::uint32_t max_queued_total = 4096;
  /// How long requests of a pool wait for a target to become usable if none is.
  duration no_target_wait = std::chrono::seconds(6);
  /// A customer not served for this time takes precedence for one request.
  duration age_limit = std::chrono::seconds(10);
  /// Idle connections are also used for requests that may run at most once.
  bool reuse_for_all = false;
  rollouts::gate_options rollouts = {};
};

/// Scheduling parameters of a customer.
struct customer_options {
  double share = 1.0;
  std::optional<std::uint32_t> max_queued;
};

struct router_totals {
  std::size_t waiting = 0;
  std::size_t in_flight = 0;
  std::uint64_t completed = 0;
  std::uint64_t refused = 0;
  std::uint64_t cut = 0;
  std::uint64_t caller_left = 0;
  std::uint64_t retries = 0;
  std::uint64_t retries_denied = 0;
  /// Rejections that only said that a small target was full.
  std::uint64_t full_targets = 0;
  /// Not retried because the request may have ended its target.
  std::uint64_t retries_withheld = 0;
  /// How often a target was sought for a request, with or without success.
  std::uint64_t target_searches = 0;
};

/// Deterministic: the same events at the same times with the same random
/// numbers produce the same effects. Owned by the control thread.
class request_router {
 public:
  request_router(router_options options,
                 i_random& random,
                 i_routing_observer& observer);

  /// Sets a customer's parameters; customers without any have share 1.
  void SetCustomer(const customer_id& customer, const customer_options& terms);
  /// What the customers of a pool ask for and what their shares are taken from,
  /// over all routers, and what waits at this one.
  struct pool_load {
    pool_id pool;
    admission::pool_flow flow;
    /// A customer's share in tokens per second; absent if there is no limit.
    std::optional<double> share;
    std::size_t waiting = 0;
    /// Cost of the prompts that wait although their customers are within their
    /// shares, in tokens.
    double waiting_tokens = 0;
    /// This router's part of the targets, 0 to 1.
    double own_fraction = 0;
  };
  /// Pools of prompts in which customers' shares are limited or prompts wait.
  [[nodiscard]] std::vector<pool_load> ContendedPools(time_point now);
  /// What is asked of a pool whose small targets are shared out.
  struct shared_pool {
    pool_id pool;
    /// Requests a second here and at the others.
    double demand = 0;
    double demand_elsewhere = 0;
    double allowance = 0;
    std::size_t waiting = 0;
  };
  [[nodiscard]] std::vector<shared_pool> SharedPools(time_point now) const;
  /// Load of this router, to be reported to the others.
  [[nodiscard]] admission::fleet_load OwnLoad(time_point now);
  /// Sets the combined load of all other routers.
  void SetOthersLoad(const admission::fleet_load& others,
                     time_point now,
                     effects& out);
  /// Sets the known throughput of the pool with all its targets.
  void SetPoolThroughput(const pool_id& pool, double tokens_per_second);
  /// Sets the retry budget of every pool.
  void SetRetryOptions(const retry_budget_options& retries);
  void SetDataCentreOut(const data_centre_id& data_centre,
                        bool out,
                        time_point now,
                        effects& out_effects);

  // Rollouts (rollout_use.cc).

  /// Sets the latest rollout of each pool.
  void SetRollouts(const rollouts::rollout_map& rollouts,
                   time_point now,
                   effects& out);
  /// Sets the leader's parts of rollouts in progress.
  void SetRolloutParts(const std::vector<rollouts::rollout_part>& parts,
                       time_point now);
  /// What versions in rollout answered here since the order.
  [[nodiscard]] std::vector<rollouts::rollout_outcomes> RolloutOutcomes() {
    return outcomes_.Report();
  }

  /// A control host received the announcement at `heard`.
  targets::announce_result OnAnnouncement(
      const targets::announcement& announcement,
      time_point heard,
      time_point now,
      effects& out);
  void OnRequest(const request_spec& spec, time_point now, effects& out);
  void OnAttempt(request_seq request,
                 attempt_number attempt,
                 const attempt_event& event,
                 time_point now,
                 effects& out);
  void OnCallerLeft(request_seq request, time_point now, effects& out);
  /// Answers `ask_stream_origin`; nullopt if nobody knows.
  void OnStreamOrigin(stream_key key,
                      const std::optional<streams::stream_origin>& origin,
                      time_point now,
                      effects& out);
  /// Evidence of other routers about what ends targets.
  void OnEvidence(const crashes::evidence& received,
                  time_point now,
                  effects& out);
  /// From now on a request that waits is refused once it would, as far as
  /// known, not end before the cut.
  void BeginDrain(const drain_window& window, time_point now, effects& out);
  /// Ends all requests, waiting or running.
  aborted_requests AbortAll(refusals::refusal_reason reason,
                            time_point now,
                            effects& out);
  /// This process did not run for `time` until now. Targets are not silent for
  /// it, as what they sent meanwhile is read only from now on.
  void OnSuspended(duration time, time_point now);
  /// Call when `NextDeadline` has passed.
  void OnTick(time_point now, effects& out);
  [[nodiscard]] time_point NextDeadline() const;

  /// Ids for refusals that are decided before the request reaches the router;
  /// callable from any thread. `OnRefusedEarly` counts them.
  [[nodiscard]] refusals::refusal_numbers& refusal_numbers() {
    return refusal_numbers_;
  }
  void OnRefusedEarly(std::size_t count) { totals_.refused += count; }

  struct queue_state {
    /// Pools with a standing queue here, and those where calls were refused for
    /// time in the last second.
    std::size_t standing_pools = 0;
    std::size_t short_pools = 0;
    /// Until a request that came now would begin, where that is known.
    duration longest_wait{};
  };
  [[nodiscard]] queue_state QueueState(time_point now) const;

  /// Demand and service of one customer in one pool.
  struct customer_load {
    pool_id pool;
    customer_id customer;
    double share = 1.0;
    std::uint32_t waiting = 0;
    /// Service received through this router.
    fairness::service_units service = 0;
    /// Number of running requests, by data centre of the target.
    std::map<data_centre_id, std::uint32_t> running;
  };
  [[nodiscard]] std::vector<customer_load> Load() const;
  /// Applies the slot leases of one data centre and dispatches waiting
  /// requests.
  void ApplyLeases(const data_centre_id& data_centre,
                   const std::vector<targets::target_lease>& leases,
                   time_point valid_until,
                   time_point now,
                   effects& out);
  /// Sets a customer's fleet-wide virtual service.
  void SetVirtualService(const pool_id& pool,
                         const customer_id& customer,
                         double value);
  /// Access to slot leases and target health, for reporting.
  [[nodiscard]] targets::target_directory& mutable_directory() {
    return directory_;
  }

  [[nodiscard]] crashes::prompt_guard& mutable_guard() { return guard_; }
  [[nodiscard]] const crashes::prompt_guard& guard() const { return guard_; }

  [[nodiscard]] const router_totals& totals() const { return totals_; }
  [[nodiscard]] const targets::target_directory& directory() const {
    return directory_;
  }
  /// Received service and queue lengths of the customers, by pool.
  [[nodiscard]] std::vector<
      std::pair<pool_id, std::vector<fairness::customer_service>>>
  CustomerSnapshot() const;

 private:
  using record = request_record;

  pool_state& PoolOf(const pool_id& pool);
  retry_budget& RetryBudgetOf(const pool_id& pool, time_point now);
  record* Find(request_seq request);
  void ScheduleDeadline(request_seq request, record& record);
  void Apply(const lifecycle_step& step,
             record& record,
             time_point now,
             effects& out);
  void Finish(record& record,
              const outcome& result,
              time_point now,
              effects& out);
  void CountOutcome(const outcome& result);
  static void Count(const record& record,
                    time_point now,
                    aborted_requests& aborted);
  /// Cancels an attempt for its target's silence only if the request can go on
  /// at another target, which is reserved for it.
  void OnDeadline(record& record, time_point now, effects& out);
  /// The request may have begun elsewhere, or the target may have left, between
  /// the reservation and the end of the cancelled attempt.
  [[nodiscard]] bool IsContinuationUsable(const record& record,
                                          time_point now) const;
  void ReleaseContinuation(record& record);
  /// Takes a retry of the failed attempt from the budget, or says why not.
  std::optional<retry_denial> ConsumeRetry(record& record,
                                           const attempt_failed& failure,
                                           time_point now);
  void EraseIfDone(request_seq request);
  /// Queues the request unless it is blocked or beyond a limit.
  void Admit(record& record, time_point now, effects& out);
  /// Whether a target is there at which the request may run next.
  [[nodiscard]] bool HasTargetFor(const record& record, time_point now) const;
  /// The only software version at which the request may run, if there is one.
  [[nodiscard]] static std::optional<software_version> RequiredVersion(
      const record& record);
  /// Divides a pool's known capacity by shares only as far as its targets are
  /// usable.
  void UpdateKnownCapacity(const pool_id& pool,
                           pool_state& state,
                           time_point now);
  /// Cost of the waiting prompts of customers within their shares that have
  /// found no room at any target, in tokens.
  std::unordered_map<customer_id, double>
  WaitingWithinShare(const pool_id& pool, pool_state& state, time_point now);
  /// Requests without a prompt that are asked of this router, a second.
  [[nodiscard]] static double OwnDemand(const pool_state& state,
                                        time_point now);
  /// Derives this router's part of a pool's demand, if that is known.
  void UpdateDemandPart(const pool_id& pool, pool_state& state, time_point now);
  /// As above, unless that was done a few milliseconds ago: for what happens
  /// with each request.
  void UseOwnDemand(const pool_id& pool, pool_state& state, time_point now);
  void SetDemandElsewhere(const admission::fleet_load& others, time_point now);

  // Dispatch (request_dispatch.cc).
  void Enqueue(record& record, time_point now, effects& out);
  void DispatchAll(time_point now, effects& out);
  /// Dispatches the pools whose retry is due.
  void DispatchDue(time_point now, effects& out);
  /// Ends after `max_failures` searches without success.
  void DispatchPool(pool_state& state,
                    const pool_id& pool,
                    int max_failures,
                    time_point now,
                    effects& out);
  /// Sends waiting requests to this target, at which room may have arisen.
  void DispatchTo(const target_id& target, time_point now, effects& out);
  /// Sends the next waiting request for which there is room, with `only` at
  /// that target.
  bool DispatchNext(pool_state& state,
                    dispatch_pass& pass,
                    const std::optional<target_id>& only,
                    time_point now,
                    effects& out);
  static void ForgetWaitingStream(pool_state& state, const record& record);
  /// Ends the waiting streams whose software version is gone.
  void EndStreamsWithoutVersion(pool_state& state,
                                time_point now,
                                effects& out);
  bool TryDispatch(request_seq request,
                   const std::optional<target_id>& only,
                   time_point now,
                   effects& out);
  std::optional<targets::choice> ChooseTarget(
      const record& record,
      bool over_share,
      const std::optional<target_id>& only,
      time_point now);
  /// As above, at `version` if one is given, else at none that is avoided.
  std::optional<targets::choice> ChooseTargetOf(
      const record& record,
      const std::optional<software_version>& version,
      const std::vector<software_version>& avoided,
      bool over_share,
      const std::optional<target_id>& only,
      time_point now);
  /// Takes a slot at a target where the running request could go on now, and a
  /// token of the retry budget; false if there is none.
  bool ReserveContinuation(record& record, time_point now);
  void Start(record& record,
             targets::choice choice,
             bool over_share,
             time_point now,
             effects& out);
  /// Charges the customer's share for the request.
  void ChargeShare(const record& record, bool over_share, time_point now);
  [[nodiscard]] bool IsOverShare(const record& record, time_point now);
  /// How long a prompt waits for a target that has its shared parts cached.
  [[nodiscard]] static duration CachedTargetWait(const request_spec& spec);
  /// Whether the request takes up a stream that was admitted before: its
  /// customer cannot have named that of another.
  [[nodiscard]] static bool WasAdmitted(const record& record) {
    return record.taken_up_from == origin_source::kRecord;
  }
  /// Refuses the request if it still waits and its customer is over its share.
  void RefuseOverShare(request_seq request, time_point now, effects& out);
  void UpdateTargetAvailability(pool_state& state,
                                const pool_id& pool,
                                time_point now);
  void RefuseForNoTarget(time_point now, effects& out);
  /// Returns the pools whose waiting requests are refused, as no target is
  /// usable, except those that may await the given end of a pause.
  [[nodiscard]] std::map<pool_id, std::optional<time_point>> PoolsWithoutTarget(
      time_point now) const;
  std::optional<refusals::refusal_reason> QueueLimitReached(
      const record& record,
      time_point now);

  // Plain calls with latency objectives (timely_begin.cc).

  /// A call ended at its target after that time.
  static void NoteServiceTime(pool_state& state, duration time);
  /// Learns from how long the caller waits whether it has tried before.
  void NotePatience(record& record);
  /// The latest time to begin for the call to end within its objective, as far
  /// as known; nullopt if it has none or no call reaches it.
  std::optional<time_point> BeginBy(const record& record);
  void RememberTimed(pool_state& state, record& record, time_point now);
  static void ForgetTimed(pool_state& state, record& record);
  /// Limit on the customer's waiting requests. Where it is known when a call
  /// begins, that bounds the queue, and the limit is one of memory.
  std::uint32_t MaxQueued(const record& record, time_point now);
  /// Whether the request is late and others can still be in time.
  [[nodiscard]] static bool YieldsToTimely(const pool_state& state,
                                           const record& record);
  static void UpdateWaiting(pool_state& state, time_point now);
  /// When the waiting request that came last will begin, if that is known.
  std::optional<duration> TimeToBegin(const record& record, time_point now);
  /// Refuses the request, which has just come, if it cannot begin in time
  /// behind those that wait, and then those that are late already.
  void RefuseIfNoRoomInTime(request_seq request, time_point now, effects& out);
  /// Whether a call that has come late is to be refused if it must wait.
  [[nodiscard]] bool HasNoRoomForLate(const pool_id& pool,
                                      const pool_state& state,
                                      time_point now) const;
  void RefuseForTime(request_seq request, time_point now, effects& out);
  /// Refuses the request if others that can be in time are refused; else it
  /// waits until none is left.
  void OnBeginByPassed(record& record, time_point now, effects& out);
  /// Retry-After by the order in which calls were refused.
  std::chrono::milliseconds PlaceInLine(const record& record, time_point now);

  // Software versions in rollout (rollout_use.cc).

  /// Versions at which requests that are bound to none are not run now.
  [[nodiscard]] std::vector<software_version> AvoidedVersions(
      const pool_id& pool,
      time_point now) const;
  void NoteStarted(const record& record, time_point now);
  /// Counts the end of an attempt for the comparison of versions; `failure` is
  /// nullptr if it completed.
  void NoteAnswer(const record& record,
                  const attempt_failed* failure,
                  time_point now);

  // Graceful shutdown (draining.cc).

  /// Whether the request may begin at a target.
  [[nodiscard]] bool MayBegin(const record& record, time_point now) const;
  /// The latest time at which the waiting request may begin.
  [[nodiscard]] time_point LatestBegin(const record& record) const;
  /// A time that the request will hardly exceed from its dispatch to its end;
  /// nullopt if nothing is known of it.
  [[nodiscard]] std::optional<duration> LikelyLongest(
      const record& record) const;
  void RefuseIfTooLate(record& record, time_point now, effects& out);

  // Streams that callers take up (taken_up_streams.cc).
  void TakeUp(record& record, time_point now, effects& out);
  void HoldForOrigin(record& record, time_point now, effects& out);
  void GoOnFrom(record& record,
                const std::optional<streams::stream_origin>& known,
                time_point now,
                effects& out);
  void RefuseTakenUp(record& record,
                     refusals::refusal_reason reason,
                     time_point now,
                     effects& out);
  /// Part of the current attempt's answer has arrived or was delivered.
  void OnStreamBegan(record& record, time_point now, effects& out);

  // Requests that end targets (blocked_requests.cc).
  [[nodiscard]] std::optional<crashes::active_block> BlockedFor(
      const record& record,
      time_point now) const;
  static refusals::refusal_reason ReasonOf(const crashes::active_block& block);
  /// Records what the event says about the request's effect on its target.
  void RecordEvidence(record& record,
                      const attempt_event& event,
                      time_point now);
  /// When the target of a served request began to run it.
  static time_point ServedSince(const record& record, time_point now);
  void OnTargetEnded(record& record, time_point now);
  /// Whether another target might end if the request were sent there.
  [[nodiscard]] bool MayEndNextTarget(const record& record,
                                      const attempt_failed& failure,
                                      time_point now) const;
  /// Logs changed blocks and refuses waiting requests that are blocked.
  void ApplyBlocks(time_point now, effects& out);

  // Accounting of attempt events (attempt_accounting.cc).
  void Account(record& record,
               const attempt_event& event,
               time_point now,
               effects& out);
  void OnFirstOutput(record& record, time_point now, effects& out);
  void OnAttemptCompleted(record& record,
                          const attempt_completed& completed,
                          time_point now,
                          effects& out);
  void OnAttemptFailed(record& record,
                       const attempt_failed& failure,
                       time_point now,
                       effects& out);
  /// A plain call was answered: its target's speed is learned from it.
  void ReportServed(const record& record, time_point now, effects& out);
  void ReportRamp(const target_id& target, const char* cause, effects& out);

  // What targets say in their answers (target_answers.cc).

  /// Applies what the event's answer says of its target. Returns whether fewer
  /// targets may be usable since.
  bool ApplyAnswerHead(const record& record,
                       const attempt_event& event,
                       time_point now,
                       effects& out);
  void ReportRateLimit(const record& record,
                       const answer_head& head,
                       effects& out);
  bool ReportLeaving(const record& record, effects& out);
  bool ReportPause(const record& record,
                   const answer_head& head,
                   time_point now,
                   effects& out);
  /// Whether the request may wait for that end of a pause.
  [[nodiscard]] bool MayAwaitPauseEnd(const record& record,
                                      time_point end) const;

  refusals::refusal MakeRefusal(const record& record,
                                refusals::refusal_reason reason,
                                refusals::run_state run,
                                time_point now);
  std::optional<std::chrono::milliseconds> RetryAfter(
      const record& record,
      refusals::refusal_reason reason,
      refusals::run_state run,
      time_point now);

  router_options options_;
  i_random& random_;
  i_routing_observer& observer_;
  targets::target_directory directory_;
  crashes::prompt_guard guard_;
  rollouts::version_gate gate_;
  rollouts::version_outcomes outcomes_;
  std::unordered_map<pool_id, retry_budget> retry_budgets_;
  std::unordered_map<pool_id, pool_state> pools_;
  std::unordered_map<customer_id, customer_options> customers_;
  std::unordered_map<request_seq, record> records_;
  std::set<std::pair<time_point, request_seq>> deadlines_;
  /// Requests with `origin_due`, by the stream that they take up.
  std::set<std::pair<stream_key, request_seq>> held_;
  /// Set while this router is being stopped.
  std::optional<drain_window> drain_;
  refusals::refusal_numbers refusal_numbers_;
  router_totals totals_;
};

}  // namespace burdocklock::routing
