// Several routers before engines that end while they process prompts, in
// virtual time. Engines end because of one prompt part, alone or in groups.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "routing/request_router.h"
#include "routing/tests/simulated_routers.h"

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
class crashing_fleet : public simulated_routers {
 public:
  static constexpr std::uint32_t kSlots = 64;
  static constexpr std::uint64_t kCrashingPart = 0xbad;

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
  explicit crashing_fleet(const crashing_fleet_options& options)
      : simulated_routers({.routers = options.routers,
                           .targets = options.engines,
                           .pool = Pool(),
                           .slots = kSlots,
                           .cold_slots = kSlots / 4,
                           .seed = options.seed}),
        options_(options) {
    engines_.resize(options.engines);
    At(start_ + std::chrono::seconds(1), [this] { GenerateSound(); });
    if (options.crashing_from) {
      At(start_ + *options.crashing_from, [this] { GenerateCrashing(); });
    }
  }

  [[nodiscard]] const std::map<request_seq, request_account>& accounts() const {
    return accounts_;
  }

 private:
  static constexpr std::size_t kDocuments = 10;
  static constexpr double kTokensPerMs = 55;
  static constexpr duration kRestartTime = std::chrono::milliseconds(3100);

  struct engine {
    time_point read_until{};
    std::set<std::pair<request_seq, attempt_number>> running;
  };

  static pool_id Pool() { return pool_id("llm"); }

  void OnTargetStarted(std::size_t index) override {
    engines_[index].read_until = now_;
  }
  void OnTargetEnded(std::size_t index) override {
    for (const auto& [id, attempt] :
         std::exchange(engines_[index].running, {})) {
      FailWithTarget(id, attempt);
    }
    At(now_ + kRestartTime, [this, index] { StartTarget(index); });
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
  void Send(std::size_t customer,
            const targets::prompt& prompt,
            std::size_t router,
            bool is_retry) {
    const request_seq id = NextRequest();
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
    accounts_[id] = {.sent = now_,
                     .router = router,
                     .customer = spec.customer,
                     .first_part = prompt.parts.front().id,
                     .has_crashing_part = HasCrashingPart(prompt),
                     .is_retry = is_retry};
    Submit(spec, router, is_retry);
  }

  void OnArrival(const start_attempt& order, std::size_t index) override {
    engine& engine = engines_[index];
    const request_spec& spec = RequestOf(order.request).spec;
    engine.running.emplace(order.request, order.attempt);
    if (HasCrashingPart(*spec.prompt)) {
      RecordCrashingArrival(order.request);
    }
    engine.read_until = std::max(engine.read_until, now_) +
                        std::chrono::duration_cast<duration>(
                            std::chrono::duration<double, std::milli>(
                                spec.prompt_tokens / kTokensPerMs));
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
    open_request& request = RequestOf(order.request);
    const bool crashes = HasCrashingPart(*request.spec.prompt) &&
                         options_.crashing_from &&
                         now_ >= start_ + *options_.crashing_from;
    if (crashes) {
      EndByRequest(index);
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

  void OnCancelled(const cancel_attempt& order) override {
    for (engine& engine : engines_) {
      engine.running.erase({order.request, order.attempt});
    }
  }

  void OnRefused(std::size_t router,
                 const refusals::refusal& refusal) override {
    const open_request& request = RequestOf(*refusal.request);
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
    At(now_ + wait,
       [this, customer, prompt = *request.spec.prompt,
        next = NextRouter(router)] { Send(customer, prompt, next, true); });
  }

  crashing_fleet_options options_;
  std::vector<engine> engines_;
  std::map<request_seq, request_account> accounts_;
  std::uint64_t last_part_ = 0;
};

}  // namespace burdocklock::routing
