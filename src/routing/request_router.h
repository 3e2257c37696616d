// The routing decisions of one daemon: which waiting request goes next, to
// which target, and what happens when that fails.
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
#include "fairness/fair_queue.h"
#include "framework/i_random.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "refusals/types/refusal.h"
#include "routing/i_routing_observer.h"
#include "routing/request_lifecycle.h"
#include "routing/retry_budget.h"
#include "routing/types/attempt.h"
#include "routing/types/effect.h"
#include "routing/types/request.h"
#include "targets/target_directory.h"

namespace burdocklock::routing {

struct router_options {
  lifecycle_options lifecycle;
  retry_budget_options retries;
  targets::directory_options directory;
  std::uint32_t max_queued_per_customer = 64;
  std::uint32_t max_queued_total = 4096;
  /// A request for a pool without any usable target waits this long for one.
  duration no_target_wait = std::chrono::seconds(6);
  /// A customer not served for this time goes first once.
  duration age_limit = std::chrono::seconds(10);
  /// Idle connections are used for work that may run once, too.
  bool reuse_for_all = false;
};

/// What the router needs to know about a customer.
struct customer_terms {
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
};

/// Deterministic: given the same events at the same times and the same random
/// numbers it produces the same effects. Owned by the control thread.
class request_router {
 public:
  request_router(router_options options,
                 i_random& random,
                 i_routing_observer& observer);

  /// Sets a customer's terms; requests of customers without terms have
  /// share 1.
  void SetCustomer(const customer_id& customer, const customer_terms& terms);
  /// This router's load, for the others.
  [[nodiscard]] admission::fleet_load OwnLoad(time_point now) const;
  /// The load of all other routers.
  void SetOthersLoad(const admission::fleet_load& others,
                     time_point now,
                     effects& out);
  /// Tokens a second that the pool is known to bear.
  void SetPoolThroughput(const pool_id& pool, double tokens_per_second);
  /// Sets what may be spent on repeats in each pool.
  void SetRetryOptions(const retry_budget_options& retries);
  void SetDataCentreOut(const data_centre_id& data_centre,
                        bool out,
                        time_point now,
                        effects& out_effects);

  targets::announce_result OnAnnouncement(
      const targets::announcement& announcement,
      time_point now,
      effects& out);
  void OnRequest(const request_spec& spec, time_point now, effects& out);
  void OnAttempt(request_seq request,
                 attempt_number attempt,
                 const attempt_event& event,
                 time_point now,
                 effects& out);
  void OnCallerLeft(request_seq request, time_point now, effects& out);
  /// Ends all requests that still run.
  void AbortAll(refusals::refusal_reason reason, time_point now, effects& out);
  /// Call when `NextDeadline` has passed.
  void OnTick(time_point now, effects& out);
  [[nodiscard]] time_point NextDeadline() const;

  /// Records a refusal that was decided before the request reached the router
  /// and gives it its number.
  refusals::refusal RecordRefusal(refusals::refusal refusal);

  /// Demand and service of one customer in one pool.
  struct customer_load {
    pool_id pool;
    customer_id customer;
    double share = 1.0;
    std::uint32_t waiting = 0;
    /// Service received through this router.
    fairness::service_units service = 0;
    /// Running requests by the data centre of their target.
    std::map<data_centre_id, std::uint32_t> running;
  };
  [[nodiscard]] std::vector<customer_load> Load() const;
  /// Takes leased slots of one data centre and dispatches.
  void ApplyLeases(const data_centre_id& data_centre,
                   const std::vector<targets::target_lease>& leases,
                   time_point valid_until,
                   time_point now,
                   effects& out);
  /// Sets a customer's fleet-wide counter.
  void SetVirtualService(const pool_id& pool,
                         const customer_id& customer,
                         double value);
  /// Access to leases and evidence, for their reports.
  [[nodiscard]] targets::target_directory& mutable_directory() {
    return directory_;
  }

  [[nodiscard]] const router_totals& totals() const { return totals_; }
  [[nodiscard]] const targets::target_directory& directory() const {
    return directory_;
  }
  /// Service and waiting requests by pool.
  [[nodiscard]] std::vector<
      std::pair<pool_id, std::vector<fairness::customer_service>>>
  CustomerView() const;

 private:
  struct record {
    request_spec spec;
    request_lifecycle life;
    std::optional<targets::slot_grant> grant;
    /// Targets of earlier attempts.
    std::vector<target_id> tried;
    /// Prompt cost charged for the running attempt.
    fairness::service_units charged_prompt = 0;
    /// Tokens by which customers' shares are reckoned; zero for plain calls.
    double share_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::optional<duration> first_output;
    time_point armed_deadline = kNever;
  };
  struct pool_state {
    explicit pool_state(const pool_id& pool, duration age_limit)
        : queue(age_limit), shares(pool) {}

    fairness::fair_queue queue;
    admission::share_limiter shares;
    /// Smoothed waiting time, for Retry-After.
    double usual_wait_s = 0;
    /// Since when requests wait while no target is usable.
    std::optional<time_point> without_target_since;
    /// When waiting requests are to be tried again.
    time_point look_again_at = kNever;
  };

  pool_state& PoolOf(const pool_id& pool);
  retry_budget& RetriesOf(const pool_id& pool, time_point now);
  record* Find(request_seq request);
  void Arm(request_seq request, record& record);
  void Apply(const lifecycle_step& step,
             record& record,
             time_point now,
             effects& out);
  void Finish(record& record,
              const outcome& result,
              time_point now,
              effects& out);
  void CountOutcome(const outcome& result);
  bool ConsumeRetry(const record& record,
                    const attempt_event& event,
                    time_point now);
  void EraseIfDone(request_seq request);

  // Dispatching (request_dispatch.cc).
  void Enqueue(record& record, time_point now, effects& out);
  void DispatchAll(time_point now, effects& out);
  void DispatchPool(pool_state& state,
                    const pool_id& pool,
                    time_point now,
                    effects& out);
  bool TryDispatch(pool_state& state,
                   request_seq request,
                   time_point now,
                   effects& out);
  std::optional<targets::choice> ChooseTarget(const record& record,
                                              bool over_share,
                                              time_point now);
  /// Refuses a waiting request of a customer that has had its share.
  void RefuseOverShare(request_seq request, time_point now, effects& out);
  void NoteUsability(pool_state& state, const pool_id& pool, time_point now);
  void RefuseWithoutTarget(time_point now, effects& out);
  std::optional<refusals::refusal_reason> QueueLimitReached(
      const request_spec& spec);

  // Accounting of an attempt's events (attempt_accounting.cc).
  void Account(record& record,
               const attempt_event& event,
               time_point now,
               effects& out);
  void OnFirstOutput(record& record, time_point now, effects& out);
  void OnAttemptGood(record& record,
                     const attempt_completed& completed,
                     effects& out);
  void OnAttemptBad(record& record,
                    const attempt_failed& failure,
                    time_point now,
                    effects& out);
  void ReportRamp(const target_id& target, const char* cause, effects& out);

  refusals::refusal MakeRefusal(const record& record,
                                refusals::refusal_reason reason,
                                refusals::run_state run);
  std::optional<std::chrono::milliseconds> RetryAfter(
      const record& record,
      refusals::refusal_reason reason,
      refusals::run_state run);

  router_options options_;
  i_random& random_;
  i_routing_observer& observer_;
  targets::target_directory directory_;
  /// One for each pool.
  std::unordered_map<pool_id, retry_budget> retries_;
  std::unordered_map<pool_id, pool_state> pools_;
  std::unordered_map<customer_id, customer_terms> customers_;
  std::unordered_map<request_seq, record> records_;
  std::set<std::pair<time_point, request_seq>> deadlines_;
  refusal_seq last_refusal_{0};
  router_totals totals_;
};

}  // namespace burdocklock::routing
