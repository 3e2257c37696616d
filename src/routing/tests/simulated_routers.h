// Several routers before the targets of one pool, in virtual time, as the base
// of fleets whose targets end. Targets come back as new incarnations; routers
// share evidence about what ends them, lose contact or restart empty.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "crashes/evidence_store.h"
#include "crashes/types/evidence.h"
#include "routing/request_router.h"
#include "routing/tests/virtual_timeline.h"

namespace burdocklock::routing {

struct simulated_routers_options {
  std::size_t routers = 6;
  std::size_t targets = 3;
  pool_id pool;
  std::uint32_t slots = 6;
  std::uint32_t cold_slots = 6;
  std::uint32_t seed = 1;
};

class simulated_routers : public virtual_timeline {
 public:
  static constexpr duration kContactTime = std::chrono::seconds(3);

  /// A request that ends its target reached one.
  struct arrival {
    time_point sent;
    request_seq request;
    /// The router has been in contact for the contact time.
    bool in_contact = false;
  };

  explicit simulated_routers(simulated_routers_options options)
      : virtual_timeline(options.seed), options_(std::move(options)) {
    for (std::size_t i = 0; i < options_.routers; ++i) {
      names_.push_back(daemon_id("router" + std::to_string(i)));
    }
    routers_.resize(options_.routers);
    for (std::size_t i = 0; i < options_.routers; ++i) {
      StartRouter(i);
      At(start_, [this, i] { Tick(i); });
    }
    lives_.resize(options_.targets);
    for (std::size_t i = 0; i < options_.targets; ++i) {
      At(start_, [this, i] { StartTarget(i); });
    }
  }
  virtual ~simulated_routers() = default;
  simulated_routers(const simulated_routers&) = delete;
  simulated_routers& operator=(const simulated_routers&) = delete;

  void EndTargetAtRandomTimes(double per_second, duration from) {
    At(start_ + from + RandomGap(per_second), [this, per_second] {
      EndTarget(random_.Below(static_cast<std::uint32_t>(lives_.size())));
      EndTargetAtRandomTimes(per_second, now_ - start_);
    });
  }
  /// Targets end at one moment, whatever they run.
  void EndTargets(std::size_t first, std::size_t count, duration at) {
    At(start_ + at, [this, first, count] {
      for (std::size_t i = first; i < first + count; ++i) {
        EndTarget(i % lives_.size());
      }
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
  /// No control host is reached by the router; targets and callers are.
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

  /// Times at which a request ended its target.
  [[nodiscard]] const std::vector<time_point>& crashes() const {
    return crashes_;
  }
  [[nodiscard]] const std::vector<arrival>& crashing_arrivals() const {
    return crashing_arrivals_;
  }

 protected:
  struct target_life {
    bool up = false;
    std::uint64_t life = 0;
    time_point started{};
  };
  struct open_request {
    request_spec spec;
    std::size_t router = 0;
    std::uint64_t router_life = 0;
    bool is_retry = false;
    /// The output of its attempt has begun.
    bool began = false;
  };

  virtual void OnTargetStarted(std::size_t index) = 0;
  /// Fails all that the target runs and schedules its return.
  virtual void OnTargetEnded(std::size_t index) = 0;
  /// The target is up and of the life that the router means.
  virtual void OnArrival(const start_attempt& order, std::size_t index) = 0;
  /// The attempt is to leave its target, if it is at one.
  virtual void OnCancelled(const cancel_attempt& order) = 0;
  virtual void OnRefused(std::size_t router,
                         const refusals::refusal& refusal) = 0;

  [[nodiscard]] const target_life& LifeOf(std::size_t index) const {
    return lives_[index];
  }
  [[nodiscard]] bool HasTargetUpFor(duration time) const {
    return std::any_of(lives_.begin(), lives_.end(), [&](const auto& target) {
      return target.up && now_ >= target.started + time;
    });
  }
  [[nodiscard]] open_request& RequestOf(request_seq id) {
    return requests_.at(id);
  }
  [[nodiscard]] const open_request& RequestOf(request_seq id) const {
    return requests_.at(id);
  }
  request_seq NextRequest() { return request_seq(++last_request_); }
  std::size_t RandomRouter() {
    return random_.Below(static_cast<std::uint32_t>(options_.routers));
  }
  [[nodiscard]] std::size_t NextRouter(std::size_t router) const {
    return (router + 1) % options_.routers;
  }

  void StartTarget(std::size_t index) {
    target_life& target = lives_[index];
    target.up = true;
    target.started = now_;
    ++target.life;
    OnTargetStarted(index);
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      Announce(index, i, Milliseconds(5, 60));
    }
    Heartbeat(index, target.life);
  }
  void EndTarget(std::size_t index) {
    if (lives_[index].up) {
      lives_[index].up = false;
      OnTargetEnded(index);
    }
  }
  /// A request ends its target some time after it has begun to run.
  void EndByRequest(std::size_t index) {
    At(now_ + Milliseconds(1, 40), [this, index, life = lives_[index].life] {
      if (lives_[index].up && lives_[index].life == life) {
        crashes_.push_back(now_);
        EndTarget(index);
      }
    });
  }
  void RecordCrashingArrival(request_seq id) {
    const open_request& request = requests_.at(id);
    crashing_arrivals_.push_back(
        {.sent = now_,
         .request = id,
         .in_contact = routers_[request.router].disturbed_until <= now_});
  }

  void Submit(const request_spec& spec, std::size_t router, bool is_retry) {
    requests_[spec.id] = {.spec = spec,
                          .router = router,
                          .router_life = routers_[router].life,
                          .is_retry = is_retry};
    Handle(router, [&](effects& out) {
      routers_[router].router->OnRequest(spec, now_, out);
    });
  }
  void Later(duration delay,
             request_seq id,
             attempt_number attempt,
             const attempt_event& event) {
    At(now_ + delay,
       [this, id, attempt, event] { Report(id, attempt, event); });
  }
  void FailWithTarget(request_seq id, attempt_number attempt) {
    Later(Milliseconds(1, 5), id, attempt,
          attempt_failed{.kind = failure_kind::kBroken,
                         .sent = true,
                         .delivered = requests_.at(id).began,
                         .step = "read answer",
                         .target_ended = true});
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

 private:
  struct router_slot {
    std::unique_ptr<request_router> router;
    std::uint64_t life = 0;
    bool in_contact = true;
    /// The router counts as out of contact until then.
    time_point disturbed_until{};
  };

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
    router.mutable_directory().SetCacheCapacity(options_.pool, 500'000);
    router.mutable_directory().SetUnknownCompetition(
        1.0 / static_cast<double>(options_.routers));
  }
  void Tick(std::size_t router) {
    At(now_ + std::chrono::milliseconds(20), [this, router] { Tick(router); });
    if (routers_[router].router->NextDeadline() <= now_) {
      Handle(router,
             [&](effects& out) { routers_[router].router->OnTick(now_, out); });
    }
  }

  [[nodiscard]] targets::announcement AnnouncementOf(std::size_t index) {
    const std::uint64_t life = lives_[index].life;
    return {.target = target_id("t" + std::to_string(index) + "-" +
                                std::to_string(life)),
            .life = incarnation(life),
            .data_centre = data_centre_id("z"),
            .address = {.port = static_cast<std::uint16_t>(index + 1)},
            .pools = {options_.pool},
            .state = targets::target_state::kReady,
            .slots = options_.slots,
            .cold_slots = options_.cold_slots,
            .sequence = ++last_sequence_,
            .cold_for = std::chrono::milliseconds(0)};
  }
  void Heartbeat(std::size_t index, std::uint64_t life) {
    At(now_ + std::chrono::milliseconds(1200), [this, index, life] {
      if (!lives_[index].up || lives_[index].life != life) {
        return;
      }
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        Announce(index, i, Milliseconds(5, 500));
      }
      Heartbeat(index, life);
    });
  }
  void Announce(std::size_t target, std::size_t router, duration delay) {
    const targets::announcement announcement = AnnouncementOf(target);
    At(now_ + delay, [this, router, announcement] {
      Handle(router, [&](effects& out) {
        routers_[router].router->OnAnnouncement(announcement, now_, now_, out);
      });
    });
  }
  void AnnounceAllTo(std::size_t router) {
    for (std::size_t i = 0; i < lives_.size(); ++i) {
      if (lives_[i].up) {
        Announce(i, router, Milliseconds(5, 20));
      }
    }
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
        OnRefused(router, refused->refusal);
      }
    }
    SendEvidence(router);
  }
  void Start(const start_attempt& order) {
    const std::size_t index = order.address.port - 1U;
    const target_life& target = lives_[index];
    if (!target.up) {
      Later(std::chrono::milliseconds(2), order.request, order.attempt,
            attempt_failed{.kind = failure_kind::kConnectFailed});
      return;
    }
    Later(std::chrono::milliseconds(1), order.request, order.attempt,
          attempt_sending{});
    if (incarnation(target.life) != order.life) {
      Later(std::chrono::milliseconds(3), order.request, order.attempt,
            attempt_failed{.kind = failure_kind::kOtherTarget, .sent = true});
      return;
    }
    requests_.at(order.request).began = false;
    OnArrival(order, index);
  }
  void Cancel(const cancel_attempt& order) {
    OnCancelled(order);
    Later(duration::zero(), order.request, order.attempt,
          attempt_failed{.kind = failure_kind::kCancelled, .sent = true});
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

  simulated_routers_options options_;
  null_routing_observer observer_;
  std::vector<daemon_id> names_;
  std::vector<router_slot> routers_;
  std::vector<target_life> lives_;
  crashes::evidence_store evidence_;
  std::map<request_seq, open_request> requests_;
  std::vector<time_point> crashes_;
  std::vector<arrival> crashing_arrivals_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace burdocklock::routing
