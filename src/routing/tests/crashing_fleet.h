// Several routers before engines that end while they process prompts, in
// virtual time. Engines end because of one prompt part, alone or in groups, and
// come back as new incarnations; routers lose contact or restart empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "crashes/evidence_store.h"
#include "crashes/types/evidence.h"
#include "routing/request_router.h"
#include "routing/tests/virtual_timeline.h"

namespace burdocklock::routing {

struct crashing_fleet_options {
  std::size_t routers = 6;
  std::size_t engines = 12;
  std::size_t customers = 8;
  double sound_per_second = 80;
  double crashing_per_second = 4;
  /// When requests with the crashing part begin; never if absent.
  std::optional<duration> crashing_from = std::chrono::seconds(8);
  /// Place of the crashing part in the prompts, counted from the first.
  std::size_t crashing_place = 1;
  /// The crashing part is one that sound requests contained before.
  bool was_sound_before = false;
  std::uint32_t seed = 1;
};

/// Prompts consist of a part of the customer's application, a part of one of
/// its documents and a part of their own.
class crashing_fleet : public virtual_timeline {
 public:
  static constexpr std::uint32_t kSlots = 64;
  static constexpr std::uint64_t kCrashingPart = 0xbad;
  static constexpr duration kContactTime = std::chrono::seconds(3);

  /// A request that reached an engine, or did not.
  struct request_account {
    time_point sent;
    std::size_t router = 0;
    customer_id customer;
    std::uint64_t first_part = 0;
    bool has_crashing_part = false;
    bool is_retry = false;
    bool begun = false;
    std::optional<refusals::refusal> refused;
  };
  struct arrival {
    time_point sent;
    request_seq request;
    /// The router has been in contact for the contact time.
    bool in_contact = false;
  };

  explicit crashing_fleet(const crashing_fleet_options& options)
      : virtual_timeline(options.seed), options_(options) {
    for (std::size_t i = 0; i < options.routers; ++i) {
      names_.push_back(daemon_id("router" + std::to_string(i)));
    }
    routers_.resize(options.routers);
    for (std::size_t i = 0; i < options.routers; ++i) {
      StartRouter(i);
      At(start_, [this, i] { Tick(i); });
    }
    engines_.resize(options.engines);
    for (std::size_t i = 0; i < options.engines; ++i) {
      At(start_, [this, i] { StartEngine(i); });
    }
    At(start_ + std::chrono::seconds(1), [this] { GenerateSound(); });
    if (options.crashing_from) {
      At(start_ + *options.crashing_from, [this] { GenerateCrashing(); });
    }
  }

  /// Engines end at one moment, whatever they run.
  void EndEngines(std::size_t first, std::size_t count, duration at) {
    At(start_ + at, [this, first, count] {
      for (std::size_t i = first; i < first + count; ++i) {
        EndEngine(i % engines_.size());
      }
    });
  }
  void EndEngineAtRandomTimes(double per_second, duration from) {
    At(start_ + from + RandomGap(per_second), [this, per_second] {
      EndEngine(random_.Below(static_cast<std::uint32_t>(engines_.size())));
      EndEngineAtRandomTimes(per_second, now_ - start_);
    });
  }
  /// The router loses all that it knows, and its requests.
  void RestartRouter(std::size_t router, duration at) {
    At(start_ + at, [this, router] {
      ++routers_[router].life;
      StartRouter(router);
      routers_[router].disturbed_until = now_ + kContactTime;
      AnnounceAllTo(router);
      ExchangeAllEvidence(router);
    });
  }
  /// No control host is reached by the router; engines and callers are.
  void CutRouter(std::size_t router, duration from, duration to) {
    At(start_ + from, [this, router] {
      routers_[router].in_contact = false;
      routers_[router].router->mutable_guard().SetContact(false, now_);
      routers_[router].disturbed_until = kNever;
    });
    At(start_ + to, [this, router] {
      routers_[router].in_contact = true;
      routers_[router].router->mutable_guard().SetContact(true, now_);
      routers_[router].disturbed_until = now_ + kContactTime;
      ExchangeAllEvidence(router);
    });
  }

  [[nodiscard]] const std::map<request_seq, request_account>& accounts() const {
    return accounts_;
  }
  /// Times at which the crashing part ended an engine.
  [[nodiscard]] const std::vector<time_point>& crashes() const {
    return crashes_;
  }
  /// Arrivals with the crashing part at engines.
  [[nodiscard]] const std::vector<arrival>& crashing_arrivals() const {
    return crashing_arrivals_;
  }

 private:
  static constexpr std::size_t kDocuments = 10;
  static constexpr double kTokensPerMs = 55;
  static constexpr duration kRestartTime = std::chrono::milliseconds(3100);

  struct engine {
    bool up = false;
    std::uint64_t life = 0;
    time_point read_until{};
    std::set<std::pair<request_seq, attempt_number>> running;
  };
  struct router_slot {
    std::unique_ptr<request_router> router;
    std::uint64_t life = 0;
    bool in_contact = true;
    /// The router counts as out of contact until then.
    time_point disturbed_until{};
  };
  struct open_request {
    request_spec spec;
    std::size_t router = 0;
    std::uint64_t router_life = 0;
    bool is_retry = false;
    bool began = false;
  };

  static pool_id Pool() { return pool_id("llm"); }

  void StartRouter(std::size_t index) {
    router_options options;
    options.lifecycle.max_attempts = 2;
    options.lifecycle.max_tries = 4;
    options.directory = {.local_data_centre = data_centre_id("z"),
                         .silence = std::chrono::seconds(8),
                         .self = names_[index]};
    options.no_target_wait = std::chrono::milliseconds(300);
    router_slot& slot = routers_[index];
    slot.router = std::make_unique<request_router>(options, random_, observer_);
    request_router& router = *slot.router;
    router.mutable_guard().SetContact(slot.in_contact, now_);
    router.SetRetryOptions({.ratio = 0.1, .per_second = 0, .burst = 20});
    router.mutable_directory().SetRouters(names_);
    router.mutable_directory().SetCacheCapacity(Pool(), 500'000);
    router.mutable_directory().SetUnknownCompetition(
        1.0 / static_cast<double>(options_.routers));
  }

  [[nodiscard]] targets::announcement AnnouncementOf(std::size_t index) {
    return {.target = target_id("t" + std::to_string(index) + "-" +
                                std::to_string(engines_[index].life)),
            .life = incarnation(engines_[index].life),
            .data_centre = data_centre_id("z"),
            .address = {.port = static_cast<std::uint16_t>(index + 1)},
            .pools = {Pool()},
            .state = targets::target_state::kReady,
            .slots = kSlots,
            .cold_slots = kSlots / 4,
            .sequence = ++last_sequence_,
            .cold_for = std::chrono::milliseconds(0)};
  }
  void StartEngine(std::size_t index) {
    engine& engine = engines_[index];
    engine.up = true;
    ++engine.life;
    engine.read_until = now_;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      Announce(index, i, Milliseconds(5, 60));
    }
    Heartbeat(index, engine.life);
  }
  void Heartbeat(std::size_t index, std::uint64_t life) {
    At(now_ + std::chrono::milliseconds(1200), [this, index, life] {
      if (!engines_[index].up || engines_[index].life != life) {
        return;
      }
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        Announce(index, i, Milliseconds(5, 500));
      }
      Heartbeat(index, life);
    });
  }
  void Announce(std::size_t engine, std::size_t router, duration delay) {
    const targets::announcement announcement = AnnouncementOf(engine);
    At(now_ + delay, [this, router, announcement] {
      Handle(router, [&](effects& out) {
        routers_[router].router->OnAnnouncement(announcement, now_, out);
      });
    });
  }
  void AnnounceAllTo(std::size_t router) {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      if (engines_[i].up) {
        Announce(i, router, Milliseconds(5, 20));
      }
    }
  }

  void EndEngine(std::size_t index) {
    engine& engine = engines_[index];
    if (!engine.up) {
      return;
    }
    engine.up = false;
    for (const auto& [id, attempt] : std::exchange(engine.running, {})) {
      const bool began = requests_.at(id).began;
      Later(Milliseconds(1, 5), id, attempt,
            attempt_failed{.kind = failure_kind::kBroken,
                           .sent = true,
                           .delivered = began,
                           .step = "read answer",
                           .target_ended = true});
    }
    At(now_ + kRestartTime, [this, index] { StartEngine(index); });
  }

  void Tick(std::size_t router) {
    At(now_ + std::chrono::milliseconds(20), [this, router] { Tick(router); });
    if (routers_[router].router->NextDeadline() <= now_) {
      Handle(router,
             [&](effects& out) { routers_[router].router->OnTick(now_, out); });
    }
  }

  targets::prompt DrawPrompt(std::size_t customer) {
    const auto application = 0x1000 + customer % (options_.customers / 2 + 1);
    const auto document =
        0x100000 + customer * kDocuments + random_.Below(kDocuments);
    targets::prompt prompt{.input_tokens = 600 + random_.Below(900),
                           .max_output_tokens = 40};
    prompt.parts = {{.id = application, .tokens = 119},
                    {.id = document, .tokens = 79},
                    {.id = 0x10000000 + ++last_part_, .tokens = 400}};
    return prompt;
  }
  std::size_t RandomCustomer() {
    return random_.Below(static_cast<std::uint32_t>(options_.customers));
  }
  void GenerateSound() {
    At(now_ + RandomGap(options_.sound_per_second),
       [this] { GenerateSound(); });
    const std::size_t customer = RandomCustomer();
    targets::prompt prompt = DrawPrompt(customer);
    const bool not_yet_crashing =
        options_.was_sound_before && now_ < start_ + *options_.crashing_from;
    if (not_yet_crashing && random_.Below(10) == 0) {
      AddCrashingPart(prompt);
    }
    Send(customer, prompt, RandomRouter(), false);
  }
  void GenerateCrashing() {
    At(now_ + RandomGap(options_.crashing_per_second),
       [this] { GenerateCrashing(); });
    const std::size_t customer = RandomCustomer();
    targets::prompt prompt = DrawPrompt(customer);
    AddCrashingPart(prompt);
    Send(customer, prompt, RandomRouter(), false);
  }
  void AddCrashingPart(targets::prompt& prompt) const {
    prompt.parts[options_.crashing_place].id = kCrashingPart;
  }
  [[nodiscard]] static bool HasCrashingPart(const targets::prompt& prompt) {
    return std::any_of(
        prompt.parts.begin(), prompt.parts.end(),
        [](const auto& part) { return part.id == kCrashingPart; });
  }
  std::size_t RandomRouter() {
    return random_.Below(static_cast<std::uint32_t>(options_.routers));
  }

  void Send(std::size_t customer,
            const targets::prompt& prompt,
            std::size_t router,
            bool is_retry) {
    const request_seq id(++last_request_);
    request_spec spec{.id = id,
                      .customer = customer_id("c" + std::to_string(customer)),
                      .pool = Pool(),
                      .kind = call_kind::kStreamedGeneration,
                      .prompt_tokens = prompt.input_tokens,
                      .time_limit = std::chrono::seconds(12),
                      .latency_objective = std::chrono::milliseconds(300),
                      .max_attempts = 2,
                      .resumable = true};
    spec.prompt = prompt;
    // Callers that come back send the same prompt.
    spec.fingerprint = request_fingerprint(prompt.parts.back().id);
    requests_[id] = {.spec = spec,
                     .router = router,
                     .router_life = routers_[router].life,
                     .is_retry = is_retry};
    accounts_[id] = {.sent = now_,
                     .router = router,
                     .customer = spec.customer,
                     .first_part = prompt.parts.front().id,
                     .has_crashing_part = HasCrashingPart(prompt),
                     .is_retry = is_retry};
    Handle(router, [&](effects& out) {
      routers_[router].router->OnRequest(spec, now_, out);
    });
  }

  void Handle(std::size_t router, const std::function<void(effects&)>& call) {
    effects out;
    call(out);
    for (const effect& effect : out) {
      if (const auto* start = std::get_if<start_attempt>(&effect)) {
        Start(*start);
      } else if (const auto* cancel = std::get_if<cancel_attempt>(&effect)) {
        Cancel(*cancel);
      } else if (const auto* refused = std::get_if<refuse_request>(&effect)) {
        Refused(router, refused->refusal);
      }
    }
    SendEvidence(router);
  }

  // As the control hosts do.
  void SendEvidence(std::size_t router) {
    crashes::prompt_guard& guard = routers_[router].router->mutable_guard();
    if (routers_[router].in_contact && guard.has_news()) {
      ToHosts(guard.TakeNews());
    }
  }
  void ToHosts(const crashes::evidence& sent) {
    At(now_ + Milliseconds(1, 30), [this, sent] {
      const crashes::evidence news = evidence_.Merge(sent, now_);
      for (std::size_t i = 0; i < routers_.size() && !news.empty(); ++i) {
        ToRouter(i, news);
      }
    });
  }
  void ToRouter(std::size_t router, const crashes::evidence& news) {
    At(now_ + Milliseconds(1, 60), [this, router, news] {
      if (routers_[router].in_contact) {
        Handle(router, [&](effects& out) {
          routers_[router].router->OnEvidence(news, now_, out);
        });
      }
    });
  }
  void ExchangeAllEvidence(std::size_t router) {
    if (routers_[router].in_contact) {
      ToHosts(routers_[router].router->guard().KnownEvidence(now_));
      ToRouter(router, evidence_.All(now_));
    }
  }

  void Start(const start_attempt& order) {
    const std::size_t index = order.address.port - 1U;
    engine& engine = engines_[index];
    const bool is_other = incarnation(engine.life) != order.life;
    if (!engine.up) {
      Later(std::chrono::milliseconds(2), order.request, order.attempt,
            attempt_failed{.kind = failure_kind::kConnectFailed});
      return;
    }
    Later(std::chrono::milliseconds(1), order.request, order.attempt,
          attempt_sending{});
    if (is_other) {
      Later(std::chrono::milliseconds(3), order.request, order.attempt,
            attempt_failed{.kind = failure_kind::kOtherTarget, .sent = true});
      return;
    }
    open_request& request = requests_.at(order.request);
    request.began = false;
    engine.running.emplace(order.request, order.attempt);
    if (HasCrashingPart(*request.spec.prompt)) {
      crashing_arrivals_.push_back(
          {.sent = now_,
           .request = order.request,
           .in_contact = routers_[request.router].disturbed_until <= now_});
    }
    engine.read_until = std::max(engine.read_until, now_) +
                        std::chrono::duration_cast<duration>(
                            std::chrono::duration<double, std::milli>(
                                request.spec.prompt_tokens / kTokensPerMs));
    At(engine.read_until, [this, order, index] { Begin(order, index); });
  }

  [[nodiscard]] bool IsRunning(const start_attempt& order,
                               std::size_t index) const {
    return engines_[index].running.contains({order.request, order.attempt});
  }
  void Begin(const start_attempt& order, std::size_t index) {
    if (!IsRunning(order, index)) {
      return;
    }
    open_request& request = requests_.at(order.request);
    const bool crashes = HasCrashingPart(*request.spec.prompt) &&
                         options_.crashing_from &&
                         now_ >= start_ + *options_.crashing_from;
    if (crashes) {
      At(now_ + Milliseconds(1, 40),
         [this, index, life = engines_[index].life] {
           if (engines_[index].up && engines_[index].life == life) {
             crashes_.push_back(now_);
             EndEngine(index);
           }
         });
      // Part of its output may arrive before the engine ends.
      if (random_.Below(2) == 0) {
        return;
      }
    }
    request.began = true;
    accounts_.at(order.request).begun = true;
    Report(order.request, order.attempt, attempt_first_output{});
    At(now_ + Milliseconds(80, 1500), [this, order, index] {
      if (IsRunning(order, index)) {
        engines_[index].running.erase({order.request, order.attempt});
        Report(order.request, order.attempt, attempt_completed{});
      }
    });
    Progress(order, index);
  }
  void Progress(const start_attempt& order, std::size_t index) {
    At(now_ + std::chrono::milliseconds(100), [this, order, index] {
      if (IsRunning(order, index)) {
        Report(order.request, order.attempt, attempt_progress{.tokens = 10});
        Progress(order, index);
      }
    });
  }

  void Cancel(const cancel_attempt& order) {
    for (engine& engine : engines_) {
      engine.running.erase({order.request, order.attempt});
    }
    Later(duration::zero(), order.request, order.attempt,
          attempt_failed{.kind = failure_kind::kCancelled, .sent = true});
  }

  void Refused(std::size_t router, const refusals::refusal& refusal) {
    const open_request& request = requests_.at(*refusal.request);
    accounts_.at(*refusal.request).refused = refusal;
    if (request.is_retry) {
      return;
    }
    const duration wait = refusal.retry_after
                              ? duration(*refusal.retry_after)
                              : duration(std::chrono::milliseconds(50));
    if (wait > std::chrono::seconds(4)) {
      return;
    }
    const auto customer = static_cast<std::size_t>(
        std::stoul(request.spec.customer.value().substr(1)));
    At(now_ + wait, [this, customer, prompt = *request.spec.prompt,
                     next = (router + 1) % options_.routers] {
      Send(customer, prompt, next, true);
    });
  }

  void Later(duration delay,
             request_seq id,
             attempt_number attempt,
             const attempt_event& event) {
    At(now_ + delay,
       [this, id, attempt, event] { Report(id, attempt, event); });
  }
  void Report(request_seq id,
              attempt_number attempt,
              const attempt_event& event) {
    const open_request& request = requests_.at(id);
    if (routers_[request.router].life != request.router_life) {
      return;
    }
    Handle(request.router, [&](effects& out) {
      routers_[request.router].router->OnAttempt(id, attempt, event, now_, out);
    });
  }

  crashing_fleet_options options_;
  null_routing_observer observer_;
  std::vector<daemon_id> names_;
  std::vector<router_slot> routers_;
  std::vector<engine> engines_;
  crashes::evidence_store evidence_;
  std::map<request_seq, open_request> requests_;
  std::map<request_seq, request_account> accounts_;
  std::vector<time_point> crashes_;
  std::vector<arrival> crashing_arrivals_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_part_ = 0;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace burdocklock::routing
