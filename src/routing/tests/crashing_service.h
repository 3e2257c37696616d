// Several routers before the few targets of one service, in virtual time. One
// request, repeated whole under new ids, ends each target that begins to run
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "routing/request_router.h"
#include "routing/tests/simulated_routers.h"

namespace burdocklock::routing {

struct crashing_service_options {
  std::size_t routers = 6;
  std::size_t targets = 3;
  double sound_per_second = 30;
  /// Sound requests that are also repeated whole, each at this rate.
  std::size_t hot_requests = 2;
  double hot_per_second = 4;
  double crashing_per_second = 4;
  duration crashing_from = std::chrono::seconds(5);
  /// So many of them arrive at once at `crashing_from`.
  std::size_t crashing_burst = 0;
  /// Targets serve the request from then on.
  std::optional<duration> sound_from;
  /// The request comes before `crashing_from` too, and is served.
  bool was_sound_before = false;
  /// A hot request comes from `crashing_from` on only.
  bool has_new_hot_request = false;
  bool repeatable = true;
  /// Empty on routes that need no key, as for calls of other services.
  customer_id customer{"c"};
  /// Streams with prompts instead of plain calls.
  bool has_prompt = false;
  /// How long a target is away after its end.
  duration restart_time = std::chrono::milliseconds(3100);
  std::uint32_t seed = 1;
};

class crashing_service : public simulated_routers {
 public:
  static constexpr std::uint32_t kSlots = 6;

  enum class request_class { kSound, kHot, kCrashing };
  struct request_account {
    time_point sent;
    request_class type = request_class::kSound;
    request_fingerprint fingerprint;
    bool is_retry = false;
    /// A target was in service, as all routers knew.
    bool had_target = false;
    bool served = false;
    std::optional<refusals::refusal> refused;
  };

  explicit crashing_service(const crashing_service_options& options)
      : simulated_routers({.routers = options.routers,
                           .targets = options.targets,
                           .pool = Pool(),
                           .slots = kSlots,
                           .cold_slots = kSlots,
                           .seed = options.seed}),
        options_(options) {
    targets_.resize(options.targets);
    ScheduleRequests();
  }

  [[nodiscard]] const std::map<request_seq, request_account>& accounts() const {
    return accounts_;
  }

 private:
  static constexpr std::size_t kMaxQueued = 12;
  // After this time all routers have heard of a target.
  static constexpr duration kAnnounced = std::chrono::milliseconds(100);
  static inline const request_fingerprint kCrashing{0xbad};
  static constexpr std::uint64_t kFirstHot = 0x1000;
  static constexpr std::uint64_t kFirstSound = 0x100000;

  struct target {
    std::set<std::pair<request_seq, attempt_number>> running;
    std::deque<std::pair<request_seq, attempt_number>> queued;
  };

  static pool_id Pool() { return pool_id("service"); }

  void OnTargetStarted(std::size_t) override {}
  void OnTargetEnded(std::size_t index) override {
    for (const auto& [id, attempt] :
         std::exchange(targets_[index].running, {})) {
      FailWithTarget(id, attempt);
    }
    for (const auto& [id, attempt] :
         std::exchange(targets_[index].queued, {})) {
      FailWithTarget(id, attempt);
    }
    At(now_ + options_.restart_time, [this, index] { StartTarget(index); });
  }

  void ScheduleRequests() {
    const time_point first = start_ + std::chrono::seconds(1);
    At(first, [this] { GenerateSound(); });
    for (std::size_t i = 0; i < options_.hot_requests; ++i) {
      const bool is_new = options_.has_new_hot_request && i == 0;
      At(is_new ? start_ + options_.crashing_from : first,
         [this, i] { GenerateHot(request_fingerprint(kFirstHot + i)); });
    }
    At(options_.was_sound_before ? first : start_ + options_.crashing_from,
       [this] { GenerateCrashing(); });
    At(start_ + options_.crashing_from, [this] {
      for (std::size_t i = 0; i < options_.crashing_burst; ++i) {
        Send(kCrashing, RandomRouter(), false);
      }
    });
  }
  void GenerateSound() {
    At(now_ + RandomGap(options_.sound_per_second),
       [this] { GenerateSound(); });
    Send(request_fingerprint(kFirstSound + ++last_sound_), RandomRouter(),
         false);
  }
  void GenerateHot(request_fingerprint hot) {
    At(now_ + RandomGap(options_.hot_per_second),
       [this, hot] { GenerateHot(hot); });
    Send(hot, RandomRouter(), false);
  }
  void GenerateCrashing() {
    At(now_ + RandomGap(options_.crashing_per_second),
       [this] { GenerateCrashing(); });
    Send(kCrashing, RandomRouter(), false);
  }
  static request_class ClassOf(request_fingerprint fingerprint) {
    if (fingerprint == kCrashing) {
      return request_class::kCrashing;
    }
    return fingerprint.value() < kFirstSound ? request_class::kHot
                                             : request_class::kSound;
  }
  // The last part is the request's own and comes again with it.
  static targets::prompt PromptOf(request_fingerprint fingerprint) {
    return {.input_tokens = 600,
            .max_output_tokens = 40,
            .parts = {{.id = 1, .tokens = 100},
                      {.id = 10 + fingerprint.value() % 5, .tokens = 100},
                      {.id = fingerprint.value(), .tokens = 400}}};
  }
  [[nodiscard]] request_spec SpecOf(request_seq id,
                                    request_fingerprint fingerprint) const {
    request_spec spec{.id = id,
                      .customer = options_.customer,
                      .pool = Pool(),
                      .kind = call_kind::kServiceCall,
                      .repeatable = options_.repeatable,
                      .time_limit = std::chrono::seconds(3),
                      .latency_objective = std::chrono::milliseconds(300),
                      .max_attempts = 2};
    spec.fingerprint = fingerprint;
    if (options_.has_prompt) {
      spec.kind = call_kind::kStreamedGeneration;
      spec.prompt_tokens = 600;
      spec.resumable = options_.repeatable;
      spec.prompt = PromptOf(fingerprint);
    }
    return spec;
  }
  void Send(request_fingerprint fingerprint,
            std::size_t router,
            bool is_retry) {
    const request_seq id = NextRequest();
    const request_spec spec = SpecOf(id, fingerprint);
    accounts_[id] = {.sent = now_,
                     .type = ClassOf(fingerprint),
                     .fingerprint = fingerprint,
                     .is_retry = is_retry,
                     .had_target = HasTargetUpFor(kAnnounced)};
    Submit(spec, router, is_retry);
  }

  void OnArrival(const start_attempt& order, std::size_t index) override {
    target& target = targets_[index];
    if (target.queued.size() >= kMaxQueued) {
      Later(std::chrono::milliseconds(3), order.request, order.attempt,
            attempt_failed{.kind = failure_kind::kNotAdmitted, .sent = true});
      return;
    }
    if (Crashes(*RequestOf(order.request).spec.fingerprint)) {
      RecordCrashingArrival(order.request);
    }
    target.queued.emplace_back(order.request, order.attempt);
    RunQueued(index);
  }
  void RunQueued(std::size_t index) {
    target& target = targets_[index];
    while (target.running.size() < kSlots && !target.queued.empty()) {
      const auto [id, attempt] = target.queued.front();
      target.queued.pop_front();
      target.running.emplace(id, attempt);
      Begin(id, attempt, index);
    }
  }
  [[nodiscard]] bool Crashes(request_fingerprint fingerprint) const {
    return fingerprint == kCrashing &&
           now_ >= start_ + options_.crashing_from &&
           (!options_.sound_from || now_ < start_ + *options_.sound_from);
  }
  void Begin(request_seq id, attempt_number attempt, std::size_t index) {
    if (Crashes(*RequestOf(id).spec.fingerprint)) {
      EndByRequest(index);
      return;
    }
    At(now_ + Milliseconds(15, 80), [this, id, attempt, index] {
      if (targets_[index].running.erase({id, attempt}) == 0) {
        return;
      }
      accounts_.at(id).served = true;
      if (options_.has_prompt) {
        Report(id, attempt, attempt_first_output{});
      }
      Report(id, attempt, attempt_completed{});
      RunQueued(index);
    });
  }

  void OnCancelled(const cancel_attempt& order) override {
    const std::pair cancelled(order.request, order.attempt);
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      std::erase(targets_[i].queued, cancelled);
      if (targets_[i].running.erase(cancelled) > 0) {
        RunQueued(i);
      }
    }
  }

  // Callers of sound requests come back once, with the same content.
  void OnRefused(std::size_t router,
                 const refusals::refusal& refusal) override {
    const open_request& request = RequestOf(*refusal.request);
    accounts_.at(*refusal.request).refused = refusal;
    const duration wait = refusal.retry_after
                              ? duration(*refusal.retry_after)
                              : duration(std::chrono::milliseconds(50));
    const request_fingerprint fingerprint = *request.spec.fingerprint;
    if (request.is_retry || fingerprint == kCrashing ||
        wait > std::chrono::seconds(2)) {
      return;
    }
    At(now_ + wait, [this, fingerprint, next = NextRouter(router)] {
      Send(fingerprint, next, true);
    });
  }

  crashing_service_options options_;
  std::vector<target> targets_;
  std::map<request_seq, request_account> accounts_;
  std::uint64_t last_sound_ = 0;
};

}  // namespace burdocklock::routing
