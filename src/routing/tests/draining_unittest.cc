// Which requests a router begins while it is being stopped, in virtual time.
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "framework/seeded_random.h"
#include "routing/stream_pace.h"
#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

using refusals::refusal_reason;
using refusals::run_state;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kNotice{2500};
constexpr milliseconds kCut{7400};
constexpr milliseconds kFirstOutput{200};

// Streams whose targets write tokens at 4.6 to 5.4 ms each.
struct draining_fixture : router_fixture {
  struct stream {
    time_point arrived;
    bool repeatable = false;
    duration pace{};
    std::uint32_t tokens = 0;
    std::optional<time_point> first_output_at;
    std::optional<time_point> end_at;
  };

  static constexpr std::uint32_t kSlots = 64;
  std::map<request_seq, stream> streams;
  std::set<request_seq> completed;
  seeded_random draws{11};

  targets::announcement target = Target("t");
  time_point announced;

  explicit draining_fixture(std::uint32_t slots = kSlots) {
    target.slots = slots;
    target.cold_slots = slots;
    AnnounceAgain();
  }

  void AnnounceAgain() {
    ++target.load->at_ms;
    Announce(target);
    announced = now;
  }

  // Of a customer of its own.
  request_seq Stream(std::uint32_t tokens, bool repeatable) {
    const request_seq id(++last_request);
    streams[id] = {.arrived = now,
                   .repeatable = repeatable,
                   .pace = std::chrono::microseconds(4600 + draws.Below(800)),
                   .tokens = tokens};
    effects out;
    request_spec spec{.id = id,
                      .customer = customer_id(std::to_string(id.value())),
                      .pool = pool_id("lamp-llm"),
                      .kind = call_kind::kStreamedGeneration,
                      .repeatable = repeatable,
                      .prompt_tokens = 10,
                      .time_limit = seconds(15),
                      .resumable = repeatable};
    spec.prompt = targets::prompt{.input_tokens = 10,
                                  .max_output_tokens = 4000,
                                  .estimated_output_tokens = tokens,
                                  .parts = {{.id = id.value(), .tokens = 10}}};
    router.OnRequest(spec, now, out);
    Record(out);
    return id;
  }
  void Work() {
    const std::map<request_seq, running_attempt> now_running = running;
    for (const auto& [id, attempt] : now_running) {
      stream& at = streams.at(id);
      if (!at.first_output_at) {
        at.first_output_at = now + kFirstOutput;
        at.end_at = *at.first_output_at + at.tokens * at.pace;
        Report(id, attempt_sending{});
      } else if (!attempt.delivered && now >= *at.first_output_at) {
        running.at(id).delivered = true;
        Report(id, attempt_first_output{});
      } else if (now >= *at.end_at) {
        completed.insert(id);
        Report(id, attempt_completed{});
      }
    }
  }
  void RunFor(duration time) {
    const time_point until = now + time;
    while (now < until) {
      Advance(milliseconds(10));
      Work();
      if (now - announced >= seconds(1)) {
        AnnounceAgain();
      }
    }
  }
  // New streams of 20 to 1,100 tokens, 20 a second.
  void RunWithArrivals(duration time) {
    const time_point until = now + time;
    while (now < until) {
      Stream(20 + draws.Below(1080), draws.Below(2) == 0);
      RunFor(milliseconds(50));
    }
  }
  drain_window BeginDrain() {
    const drain_window window{.notice_end = now + kNotice, .cut = now + kCut};
    effects out;
    router.BeginDrain(window, now, out);
    Record(out);
    return window;
  }
  std::optional<refusals::refusal> RefusalOf(request_seq id) const {
    for (const refusals::refusal& refusal : refusals) {
      if (refusal.request == id) {
        return refusal;
      }
    }
    return std::nullopt;
  }
};

// Streams that arrived after the SIGTERM were cut at the end of the grace.
TEST_CASE_METHOD(
    draining_fixture,
    "router is stopped while streams of many lengths arrive: those "
    "that cannot end in time are refused, others are served") {
  RunWithArrivals(seconds(20));
  const time_point sigterm = now;
  const drain_window window = BeginDrain();
  RunWithArrivals(kNotice);
  RunFor(window.cut - now);
  int late = 0;
  int late_refused = 0;
  for (const auto& [id, stream] : streams) {
    if (stream.arrived < sigterm) {
      continue;
    }
    ++late;
    const double needed = ToSeconds(kFirstOutput + stream.tokens * stream.pace);
    const double left = ToSeconds(window.cut - stream.arrived);
    const auto refused = RefusalOf(id);
    late_refused += refused ? 1 : 0;
    if (refused) {
      CHECK(refused->reason == refusal_reason::kDraining);
      CHECK(refused->run == run_state::kNotRun);
      CHECK(refused->retry_after < milliseconds(1000));
      CHECK(needed > left * 0.8);
    } else {
      CHECK(needed < left * 1.1);
      CHECK((completed.contains(id) || needed > left * 0.95));
    }
  }
  CHECK(late_refused > 0);
  CHECK(late_refused < late);
}

TEST_CASE(
    "router is stopped while streams wait: those that cannot end any "
    "more are refused at once, others when their time comes") {
  draining_fixture fixture(1);
  fixture.Stream(100, false);
  fixture.RunFor(seconds(2));
  const request_seq running = fixture.Stream(1000, false);
  fixture.RunFor(milliseconds(50));
  const request_seq longest = fixture.Stream(1800, false);
  const request_seq shorter = fixture.Stream(1000, true);
  const time_point sigterm = fixture.now;
  fixture.BeginDrain();
  REQUIRE(fixture.running.contains(running));
  REQUIRE(fixture.RefusalOf(longest));
  CHECK(fixture.RefusalOf(longest)->run == run_state::kNotRun);
  REQUIRE_FALSE(fixture.RefusalOf(shorter));
  while (!fixture.RefusalOf(shorter) && fixture.now < sigterm + kCut) {
    fixture.RunFor(milliseconds(10));
  }
  REQUIRE(fixture.RefusalOf(shorter));
  CHECK(fixture.RefusalOf(shorter)->reason == refusal_reason::kDraining);
  CHECK(fixture.run_counts[shorter] == 0);
  CHECK(fixture.now < sigterm + milliseconds(3000));
}

// A stream that its target had turned away was begun again and cut.
TEST_CASE(
    "router is stopped and a target turns a stream away: it is refused "
    "if it cannot end any more") {
  draining_fixture fixture;
  fixture.Stream(100, false);
  fixture.RunFor(seconds(2));
  fixture.BeginDrain();
  const request_seq id = fixture.Stream(800, false);
  REQUIRE(fixture.running.contains(id));
  fixture.Advance(seconds(4));
  fixture.Report(id, attempt_sending{});
  fixture.Fail(id, failure_kind::kNotAdmitted);
  fixture.Advance(milliseconds(50));
  CHECK_FALSE(fixture.running.contains(id));
  REQUIRE(fixture.RefusalOf(id));
  CHECK(fixture.RefusalOf(id)->reason == refusal_reason::kDraining);
  CHECK(fixture.RefusalOf(id)->run == run_state::kNotRun);
}

// A waiting stream was neither begun nor refused once the pace was known.
TEST_CASE(
    "router is stopped while streams of unknown pace wait: once it is "
    "known, one that cannot end is refused, the next one begins") {
  draining_fixture fixture(1);
  const request_seq first = fixture.Stream(800, false);
  const request_seq longest = fixture.Stream(1500, false);
  const request_seq shorter = fixture.Stream(100, false);
  fixture.BeginDrain();
  REQUIRE(fixture.running.contains(first));
  while (!fixture.completed.contains(first)) {
    fixture.RunFor(milliseconds(10));
  }
  fixture.RunFor(milliseconds(100));
  REQUIRE(fixture.RefusalOf(longest));
  CHECK(fixture.RefusalOf(longest)->reason == refusal_reason::kDraining);
  CHECK(fixture.running.contains(shorter));
}

TEST_CASE(
    "estimate of a stream's length: beyond its maximum: the maximum "
    "holds") {
  const targets::prompt prompt{.max_output_tokens = 100,
                               .estimated_output_tokens = 4'000'000'000};
  CHECK(prompt.ExpectedOutputTokens() == 100);
  stream_pace pace;
  pace.OnCompleted(1, seconds(1), seconds(100));
  CHECK(*pace.LikelyLongest(4'000'000'000, 1) <= std::chrono::hours(1));
}

TEST_CASE("router is stopped before it has served a stream: it takes one") {
  draining_fixture fixture;
  fixture.BeginDrain();
  const request_seq id = fixture.Stream(2000, false);
  CHECK(fixture.running.contains(id));
}

TEST_CASE_METHOD(draining_fixture,
                 "router is stopped: a call that reaches its time limit before "
                 "the cut: it is taken, however long streams are") {
  RunWithArrivals(seconds(10));
  RunFor(seconds(10));
  REQUIRE(running.empty());
  BeginDrain();
  const request_seq id(++last_request);
  effects out;
  router.OnRequest({.id = id,
                    .customer = customer_id("c"),
                    .pool = pool_id("lamp-llm"),
                    .kind = call_kind::kStreamedGeneration,
                    .repeatable = false,
                    .prompt_tokens = 10,
                    .time_limit = seconds(3),
                    .prompt = targets::prompt{.input_tokens = 10,
                                              .max_output_tokens = 5000}},
                   now, out);
  Record(out);
  CHECK(running.contains(id));
}

TEST_CASE("pace of streams: all are alike: the prediction is their time") {
  rc::prop("exact", [] {
    const auto tokens = *rc::gen::inRange<std::uint32_t>(1, 2000);
    const auto pace = std::chrono::microseconds(*rc::gen::inRange(1, 20'000));
    const auto first = milliseconds(*rc::gen::inRange(0, 2000));
    stream_pace subject;
    RC_ASSERT(!subject.LikelyLongest(tokens, 2));
    for (int i = 0; i < 50; ++i) {
      subject.OnCompleted(tokens, first, tokens * pace);
    }
    const duration likely = *subject.LikelyLongest(2 * tokens, 0);
    const duration exact = first + 2 * tokens * pace;
    RC_ASSERT(std::chrono::abs(likely - exact) < milliseconds(1));
  });
}

TEST_CASE(
    "pace of streams: it becomes slower: the prediction follows within "
    "a hundred streams") {
  stream_pace subject;
  for (int i = 0; i < 1000; ++i) {
    subject.OnCompleted(100, milliseconds(100), milliseconds(400));
  }
  for (int i = 0; i < 100; ++i) {
    subject.OnCompleted(100, milliseconds(100), milliseconds(1200));
  }
  CHECK(*subject.LikelyLongest(100, 2) >= milliseconds(1300));
}

}  // namespace
}  // namespace burdocklock::routing
