// Targets that fall silent under streams and go on, in virtual time: no request
// is ended for a silence unless it can go on at another target.
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "framework/seeded_random.h"
#include "routing/request_router.h"
#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{10};
constexpr milliseconds kPieceInterval{100};
constexpr milliseconds kFirstPiece{200};
constexpr int kPieces = 60;
constexpr retry_budget_options kSmallBudget{.ratio = 0.05,
                                            .per_second = 0,
                                            .burst = 2.5};
constexpr retry_budget_options kLargeBudget{.ratio = 1, .burst = 1000};

router_options Options() {
  router_options options = router_fixture::Options();
  options.lifecycle.between_tokens_timeout = milliseconds(1500);
  options.lifecycle.connect_timeout = milliseconds(400);
  options.lifecycle.max_tries = 5;
  options.directory.silence = seconds(60);
  return options;
}

// Requests at targets that produce a piece now and then, unless they are
// silent; a request goes on where its attempt before left off.
class silent_targets {
 public:
  struct request_account {
    std::optional<outcome> result;
    int pieces = 0;
    std::set<target_id> targets;
  };

  explicit silent_targets(const retry_budget_options& budget) {
    router_.SetRetryOptions(budget);
  }

  void AddTarget(const std::string& name, std::uint32_t slots) {
    targets::announcement announcement = router_fixture::Target(name);
    announcement.slots = slots;
    announcement.cold_slots = slots;
    effects out;
    router_.OnAnnouncement(announcement, now_, now_, out);
    Take(out);
  }
  void Send(const request_spec& terms) {
    request_spec spec = terms;
    spec.id = request_seq(++last_request_);
    spec.customer = customer_id("depot");
    spec.pool = pool_id("lamp-llm");
    specs_[spec.id] = spec;
    effects out;
    router_.OnRequest(spec, now_, out);
    Take(out);
  }
  void SendStreams(std::size_t count,
                   std::uint32_t max_attempts,
                   bool prompts = false) {
    for (std::size_t i = 0; i < count; ++i) {
      request_spec spec{.kind = call_kind::kStreamedGeneration,
                        .prompt_tokens = 10,
                        .time_limit = seconds(15),
                        .latency_objective = milliseconds(800),
                        .max_attempts = max_attempts,
                        .resumable = true};
      if (prompts) {
        spec.prompt = targets::prompt{
            .input_tokens = 10, .parts = {{.id = 1000 + i, .tokens = 10}}};
      }
      Send(spec);
    }
  }
  void Silence(const std::string& target, duration time) {
    silent_until_[target_id(target)] = now_ + time;
  }
  // The target rejects what reaches it from now on, without running it.
  void TurnAway(const std::string& target) {
    turns_away_.insert(target_id(target));
  }
  // The router does not run meanwhile; then its timers are served before what
  // its targets have sent.
  void Suspend(duration time) {
    now_ += time;
    router_.OnSuspended(time, now_);
    effects out;
    router_.OnTick(now_, out);
    Take(out);
  }
  void Run(duration time) {
    for (const time_point until = now_ + time; now_ < until; now_ += kStep) {
      if (router_.NextDeadline() <= now_) {
        effects out;
        router_.OnTick(now_, out);
        Take(out);
      }
      const auto running = running_;
      for (const auto& [id, attempt] : running) {
        Progress(id, attempt);
      }
    }
  }
  [[nodiscard]] const std::map<request_seq, request_account>& accounts() const {
    return accounts_;
  }
  template <typename Outcome>
  [[nodiscard]] std::size_t Count() const {
    std::size_t count = 0;
    for (const auto& [id, account] : accounts_) {
      count +=
          account.result && std::holds_alternative<Outcome>(*account.result)
              ? 1
              : 0;
    }
    return count;
  }
  [[nodiscard]] std::size_t At(const std::string& target) const {
    std::size_t count = 0;
    for (const auto& [id, attempt] : running_) {
      count += attempt.target == target_id(target) ? 1 : 0;
    }
    return count;
  }
  // Requests that were at two targets.
  [[nodiscard]] std::size_t Moved() const {
    std::size_t count = 0;
    for (const auto& [id, account] : accounts_) {
      count += account.targets.size() > 1 ? 1 : 0;
    }
    return count;
  }
  [[nodiscard]] const request_router& router() const { return router_; }

 private:
  struct attempt_state {
    attempt_number number;
    target_id target;
    time_point next_piece{};
    bool sent = false;
    bool cancelled = false;
    bool delivered = false;
  };

  void Progress(request_seq id, const attempt_state& attempt) {
    const auto current = running_.find(id);
    if (current == running_.end() || current->second.number != attempt.number) {
      return;
    }
    if (attempt.cancelled) {
      return Fail(id, failure_kind::kCancelled);
    }
    if (!attempt.sent) {
      current->second.sent = true;
      return Report(id, attempt_sending{});
    }
    if (turns_away_.contains(attempt.target) && !attempt.delivered) {
      return Fail(id, failure_kind::kNotAdmitted);
    }
    const auto silent = silent_until_.find(attempt.target);
    if (now_ < attempt.next_piece ||
        (silent != silent_until_.end() && now_ < silent->second)) {
      return;
    }
    Produce(id, current->second);
  }
  void Produce(request_seq id, attempt_state& attempt) {
    request_account& account = accounts_[id];
    const bool is_stream = specs_[id].kind == call_kind::kStreamedGeneration;
    if (!is_stream || ++account.pieces == kPieces) {
      const attempt_number number = attempt.number;
      running_.erase(id);
      return Report(id, number, attempt_completed{});
    }
    attempt.next_piece = now_ + kPieceInterval;
    if (attempt.delivered) {
      return Report(id, attempt_progress{.tokens = 1});
    }
    attempt.delivered = true;
    Report(id, attempt_first_output{});
  }
  void Fail(request_seq id, failure_kind kind) {
    const attempt_state attempt = running_.at(id);
    running_.erase(id);
    Report(id, attempt.number,
           attempt_failed{.kind = kind,
                          .sent = attempt.sent,
                          .delivered = attempt.delivered});
  }
  void Report(request_seq id, const attempt_event& event) {
    Report(id, running_.at(id).number, event);
  }
  void Report(request_seq id,
              attempt_number number,
              const attempt_event& event) {
    effects out;
    router_.OnAttempt(id, number, event, now_, out);
    Take(out);
  }
  void Take(const effects& out) {
    for (const effect& effect : out) {
      if (const auto* start = std::get_if<start_attempt>(&effect)) {
        running_[start->request] = {
            .number = start->attempt,
            .target = start->target,
            .next_piece = now_ + FirstPieceAfter(start->request)};
        accounts_[start->request].targets.insert(start->target);
      } else if (const auto* cancel = std::get_if<cancel_attempt>(&effect)) {
        running_.at(cancel->request).cancelled = true;
      } else if (const auto* ended = std::get_if<request_ended>(&effect)) {
        accounts_[ended->request].result = ended->result;
      }
    }
  }
  duration FirstPieceAfter(request_seq id) {
    return specs_[id].kind == call_kind::kStreamedGeneration
               ? duration(kFirstPiece)
               : duration(seconds(1));
  }

  seeded_random random_{7};
  null_routing_observer observer_;
  time_point now_{seconds(1000)};
  request_router router_{Options(), random_, observer_};
  std::uint64_t last_request_ = 0;
  std::map<request_seq, request_spec> specs_;
  std::map<request_seq, attempt_state> running_;
  std::map<request_seq, request_account> accounts_;
  std::map<target_id, time_point> silent_until_;
  std::set<target_id> turns_away_;
};

TEST_CASE(
    "silent target: one of several falls silent for a while under many "
    "resumable streams, the budget is smaller: none is cut") {
  const milliseconds silence{GENERATE(1000, 1600, 2000)};
  const std::uint32_t max_attempts = GENERATE(2U, 3U);
  silent_targets fleet(kSmallBudget);
  for (const char* name : {"t1", "t2", "t3"}) {
    fleet.AddTarget(name, 30);
  }
  fleet.SendStreams(45, max_attempts);
  fleet.Run(seconds(1));
  REQUIRE(fleet.At("t1") > 5);
  fleet.Silence("t1", silence);
  fleet.Run(seconds(12));
  CHECK(fleet.Count<outcome_cut>() == 0);
  CHECK(fleet.Count<outcome_completed>() == 45);
}

TEST_CASE(
    "silent target: all targets fall silent for a while at once: no "
    "stream is cut") {
  const milliseconds silence{GENERATE(1000, 1600, 2000)};
  silent_targets fleet(GENERATE(kSmallBudget, kLargeBudget));
  for (const char* name : {"t1", "t2", "t3"}) {
    fleet.AddTarget(name, 30);
  }
  fleet.SendStreams(45, 3);
  fleet.Run(seconds(1));
  for (const char* name : {"t1", "t2", "t3"}) {
    fleet.Silence(name, silence);
  }
  fleet.Run(seconds(12));
  CHECK(fleet.Count<outcome_cut>() == 0);
  CHECK(fleet.Count<outcome_completed>() == 45);
}

TEST_CASE(
    "silent target: no other target has room: its streams stay and none "
    "is cut") {
  const bool prompts = GENERATE(false, true);
  silent_targets fleet(kLargeBudget);
  fleet.AddTarget("t1", 8);
  fleet.AddTarget("t2", 8);
  fleet.SendStreams(16, 3, prompts);
  fleet.Run(seconds(1));
  const std::size_t silent = fleet.At("t1");
  REQUIRE(silent > 0);
  REQUIRE(fleet.At("t2") == 16 - silent);
  fleet.Silence("t1", milliseconds(1800));
  fleet.Run(milliseconds(1800));
  CHECK(fleet.At("t1") == silent);
  fleet.Run(seconds(12));
  CHECK(fleet.Count<outcome_cut>() == 0);
  CHECK(fleet.Count<outcome_completed>() == 16);
}

TEST_CASE("silent target: the others turn requests away: no stream is cut") {
  silent_targets fleet(GENERATE(kSmallBudget, kLargeBudget));
  for (const char* name : {"t1", "t2", "t3"}) {
    fleet.AddTarget(name, 30);
  }
  fleet.SendStreams(45, 3);
  fleet.Run(seconds(1));
  fleet.TurnAway("t2");
  fleet.TurnAway("t3");
  fleet.Silence("t1", milliseconds(1800));
  fleet.Run(seconds(12));
  CHECK(fleet.Count<outcome_cut>() == 0);
  CHECK(fleet.Count<outcome_completed>() == 45);
}

TEST_CASE(
    "silent target: repeatable calls wait there for half of their time, "
    "the budget is smaller: each is answered") {
  silent_targets fleet(kSmallBudget);
  fleet.AddTarget("t1", 30);
  fleet.AddTarget("t2", 30);
  for (int i = 0; i < 20; ++i) {
    fleet.Send({.kind = call_kind::kServiceCall,
                .time_limit = seconds(3),
                .max_attempts = 2});
  }
  REQUIRE(fleet.At("t1") > 5);
  fleet.Silence("t1", milliseconds(2000));
  fleet.Run(seconds(4));
  CHECK(fleet.Count<outcome_completed>() == 20);
}

TEST_CASE(
    "silent target: it stays silent, there is budget and room elsewhere: "
    "its streams go on there") {
  silent_targets fleet(kLargeBudget);
  for (const char* name : {"t1", "t2", "t3"}) {
    fleet.AddTarget(name, 45);
  }
  fleet.SendStreams(45, 2);
  fleet.Run(seconds(1));
  const std::size_t silent = fleet.At("t1");
  REQUIRE(silent > 5);
  fleet.Silence("t1", seconds(60));
  fleet.Run(seconds(12));
  CHECK(fleet.Moved() == silent);
  CHECK(fleet.Count<outcome_completed>() == 45);
}

TEST_CASE(
    "silent target: it stays silent, nothing else can go on: its streams "
    "end at their time limit") {
  silent_targets fleet(kLargeBudget);
  fleet.AddTarget("t1", 45);
  fleet.SendStreams(10, 3);
  fleet.Run(seconds(1));
  fleet.Silence("t1", seconds(60));
  fleet.Run(milliseconds(13'900));
  CHECK(fleet.Count<outcome_cut>() == 0);
  fleet.Run(milliseconds(300));
  CHECK(fleet.Count<outcome_cut>() == 10);
  CHECK(fleet.router().totals().in_flight == 0);
}

TEST_CASE(
    "silent target: the router was suspended and its targets went on: no "
    "stream is moved") {
  const milliseconds time{GENERATE(1600, 2000, 4000)};
  silent_targets fleet(kLargeBudget);
  for (const char* name : {"t1", "t2", "t3"}) {
    fleet.AddTarget(name, 45);
  }
  fleet.SendStreams(45, 3);
  fleet.Run(seconds(1));
  fleet.Suspend(time);
  fleet.Run(seconds(9));
  CHECK(fleet.Moved() == 0);
  CHECK(fleet.Count<outcome_completed>() == 45);
}

TEST_CASE(
    "silent target: the router was suspended while it was silent: its streams "
    "go on elsewhere as late as the router could notice") {
  silent_targets fleet(kLargeBudget);
  for (const char* name : {"t1", "t2"}) {
    fleet.AddTarget(name, 45);
  }
  fleet.SendStreams(20, 3);
  fleet.Run(seconds(1));
  const std::size_t silent = fleet.At("t1");
  REQUIRE(silent > 5);
  fleet.Silence("t1", seconds(60));
  fleet.Run(seconds(1));
  fleet.Suspend(seconds(2));
  fleet.Run(milliseconds(300));
  CHECK(fleet.Moved() == 0);
  fleet.Run(milliseconds(400));
  CHECK(fleet.Moved() == silent);
}

}  // namespace
}  // namespace burdocklock::routing
