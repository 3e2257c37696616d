// Decisions about single prompt parts, and their release.
#include "crashes/prompt_guard.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace burdocklock::crashes {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const pool_id kPool("llm");

struct guard_fixture {
  time_point now{seconds(10'000)};
  prompt_guard guard{daemon_id("r")};
  int targets = 0;

  guard_fixture() {
    guard.SetContact(true, now);
    now += seconds(10);
  }

  static targets::prompt Prompt(std::vector<std::uint64_t> shared) {
    targets::prompt prompt{.input_tokens = 100};
    for (const std::uint64_t part : shared) {
      prompt.parts.push_back({.id = part, .tokens = 10});
    }
    prompt.parts.push_back({.id = ++last_own_part, .tokens = 10});
    return prompt;
  }
  static request_suspects Request(const std::vector<std::uint64_t>& shared) {
    return SuspectsOf(kPool, Prompt(shared));
  }
  void End(const std::vector<std::uint64_t>& shared) {
    guard.OnTargetEnded(target_id("t" + std::to_string(++targets)),
                        incarnation(1), Request(shared), now);
  }
  // As many targets end one after the other, each with a prompt of its own.
  void EndSeveral(int count, const std::vector<std::uint64_t>& shared) {
    for (int i = 0; i < count; ++i) {
      End(shared);
      Pass(seconds(1));
    }
  }
  void Serve(const std::vector<std::uint64_t>& shared) {
    guard.OnServed(Request(shared), now, now);
  }
  void Pass(duration time) {
    now += time;
    guard.OnTick(now);
  }
  bool IsBlocked(const std::vector<std::uint64_t>& shared) {
    return guard.BlockedFor(Request(shared), now).has_value();
  }
  bool IsTrusted(const std::vector<std::uint64_t>& shared) {
    return guard.IsTrusted(Request(shared), now);
  }

  static inline std::uint64_t last_own_part = 1000;
};

TEST_CASE_METHOD(guard_fixture,
                 "three targets end with a part that none served: it is "
                 "blocked, the parts beside it are not") {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    Serve({1, 10 + i});
    EndSeveral(1, {1, 9, 10 + i});
    Serve({1, 10 + i});
  }
  CHECK(IsBlocked({9}));
  CHECK(IsBlocked({1, 9, 50}));
  CHECK_FALSE(IsBlocked({1, 11}));
  CHECK(guard.BlockedCount(now) == 1);
}

TEST_CASE_METHOD(guard_fixture,
                 "two targets end with a part: it is not blocked") {
  EndSeveral(2, {9});
  CHECK_FALSE(IsBlocked({9}));
}

TEST_CASE_METHOD(guard_fixture,
                 "targets end with a part that is served in between: it is "
                 "not blocked") {
  for (int i = 0; i < 10; ++i) {
    EndSeveral(2, {9});
    Serve({9});
  }
  CHECK_FALSE(IsBlocked({9}));
}

TEST_CASE_METHOD(guard_fixture,
                 "the part of one request alone: it is never blocked") {
  const targets::prompt prompt = Prompt({});
  for (int i = 0; i < 10; ++i) {
    guard.OnTargetEnded(target_id("t" + std::to_string(i)), incarnation(1),
                        SuspectsOf(kPool, prompt), now);
    Pass(seconds(1));
  }
  CHECK(guard.BlockedCount(now) == 0);
}

TEST_CASE_METHOD(guard_fixture,
                 "a group of targets ends at once, some without the part: it "
                 "is not blocked") {
  for (int i = 0; i < 4; ++i) {
    End({9});
    End({8});
  }
  Pass(seconds(1));
  CHECK(guard.BlockedCount(now) == 0);
}

TEST_CASE_METHOD(guard_fixture,
                 "all targets end at once, each with a part that was served "
                 "before: it is not blocked") {
  Serve({9});
  Pass(milliseconds(50));
  for (int i = 0; i < 12; ++i) {
    End({9});
  }
  Pass(seconds(1));
  CHECK(guard.BlockedCount(now) == 0);
}

TEST_CASE_METHOD(guard_fixture,
                 "two parts come only together: both are blocked after five "
                 "targets ended, not before") {
  EndSeveral(4, {8, 9});
  CHECK(guard.BlockedCount(now) == 0);
  EndSeveral(1, {8, 9});
  CHECK(guard.BlockedCount(now) == 2);
}

TEST_CASE_METHOD(guard_fixture,
                 "out of contact: a part that was served before is not "
                 "blocked, one that never was is") {
  Serve({9});
  guard.SetContact(false, now);
  EndSeveral(8, {9});
  EndSeveral(3, {7});
  CHECK_FALSE(IsBlocked({9}));
  CHECK(IsBlocked({7}));
}

TEST_CASE_METHOD(guard_fixture,
                 "a blocked part is served by a target that had it already: "
                 "it is released") {
  EndSeveral(3, {9});
  REQUIRE(IsBlocked({9}));
  Serve({9});
  CHECK_FALSE(IsBlocked({9}));
}

TEST_CASE_METHOD(guard_fixture,
                 "a block has ended: one request tries, the others wait for "
                 "its outcome") {
  EndSeveral(3, {9});
  Pass(minutes(2));
  REQUIRE_FALSE(IsBlocked({9}));
  guard.OnSent(Request({9}), now);
  CHECK(IsBlocked({9}));
  SECTION("a target serves it: the part is free") {
    Pass(milliseconds(500));
    Serve({9});
    CHECK_FALSE(IsBlocked({9}));
  }
  SECTION("a target ends: the part is blocked for longer, everywhere") {
    EndSeveral(1, {9});
    CHECK(guard.BlockedFor(Request({9}), now)->remaining > minutes(1));
    prompt_guard other{daemon_id("other")};
    other.OnEvidence(guard.TakeNews(), now);
    CHECK(other.BlockedFor(Request({9}), now)->remaining > minutes(1));
  }
}

TEST_CASE_METHOD(guard_fixture,
                 "evidence of other routers: it counts as own evidence") {
  std::vector<prompt_guard> others;
  for (int i = 0; i < 3; ++i) {
    others.emplace_back(daemon_id("o" + std::to_string(i)));
    others.back().OnTargetEnded(target_id("t" + std::to_string(i)),
                                incarnation(1), Request({9}), now);
    guard.OnEvidence(others.back().TakeNews(), now);
    Pass(seconds(1));
  }
  CHECK(IsBlocked({9}));
}

TEST_CASE_METHOD(guard_fixture,
                 "another router served a part before: it is told so when it "
                 "reports targets that ended") {
  prompt_guard other{daemon_id("other")};
  other.OnServed(Request({9}), now, now);
  Pass(milliseconds(100));
  for (int i = 0; i < 6; ++i) {
    End({9});
  }
  other.OnEvidence(guard.TakeNews(), now);
  guard.OnEvidence(other.TakeNews(), now);
  Pass(seconds(1));
  CHECK(guard.BlockedCount(now) == 0);
}

TEST_CASE_METHOD(guard_fixture,
                 "a prompt of parts that were served lately: it is trusted "
                 "until targets end with it at two moments") {
  CHECK_FALSE(IsTrusted({9}));
  Serve({9});
  CHECK(IsTrusted({9}));
  Pass(seconds(1));
  End({9});
  End({9});
  CHECK(IsTrusted({9}));
  Pass(seconds(1));
  End({9});
  CHECK_FALSE(IsTrusted({9}));
}

struct repeated_guard_fixture : guard_fixture {
  static request_suspects Repeated(std::uint64_t fingerprint,
                                   std::vector<std::uint64_t> parts = {}) {
    return {.pool = kPool,
            .shared_parts = std::move(parts),
            .fingerprint = request_fingerprint(fingerprint)};
  }
  void EndWith(const request_suspects& request) {
    guard.OnTargetEnded(target_id("t" + std::to_string(++targets)),
                        incarnation(1), request, now);
  }
  void EndQuickly(int count, const request_suspects& request) {
    for (int i = 0; i < count; ++i) {
      EndWith(request);
      now += milliseconds(20);
    }
    Pass(milliseconds(400));
  }
  bool IsRefused(const request_suspects& request) {
    return guard.BlockedFor(request, now).has_value();
  }
};

TEST_CASE_METHOD(repeated_guard_fixture,
                 "repeated request: three targets end with it within a moment: "
                 "it is blocked and others are not") {
  EndQuickly(2, Repeated(9, {1}));
  CHECK_FALSE(IsRefused(Repeated(9, {1})));
  EndQuickly(1, Repeated(9, {1}));
  const auto block = guard.BlockedFor(Repeated(9, {1}), now);
  REQUIRE(block.has_value());
  CHECK(block->kind == suspect_kind::kRequest);
  CHECK_FALSE(IsRefused(Repeated(8, {1})));
  CHECK_FALSE(IsRefused({.pool = kPool, .shared_parts = {9}}));
  CHECK_FALSE(IsRefused(
      {.pool = pool_id("other"), .fingerprint = request_fingerprint(9)}));
}

TEST_CASE_METHOD(repeated_guard_fixture,
                 "repeated request: a target serves it between the ends: it is "
                 "not blocked") {
  for (int i = 0; i < 10; ++i) {
    EndQuickly(2, Repeated(9));
    guard.OnServed(Repeated(9), now, now);
    Pass(milliseconds(10));
  }
  CHECK_FALSE(IsRefused(Repeated(9)));
}

TEST_CASE_METHOD(repeated_guard_fixture,
                 "repeated request: it was served before the ends: it is "
                 "blocked in contact and not out of contact") {
  guard.OnServed(Repeated(9), now, now);
  Pass(milliseconds(100));
  SECTION("in contact") {
    EndQuickly(3, Repeated(9));
    CHECK(IsRefused(Repeated(9)));
  }
  SECTION("out of contact") {
    guard.SetContact(false, now);
    EndQuickly(3, Repeated(9));
    CHECK_FALSE(IsRefused(Repeated(9)));
  }
}

TEST_CASE_METHOD(repeated_guard_fixture,
                 "repeated request: targets end at once and few of them with "
                 "it: it is not blocked") {
  for (std::uint64_t i = 0; i < 12; ++i) {
    EndWith(Repeated(i % 4 == 0 ? 9 : 100 + i));
  }
  Pass(seconds(1));
  CHECK(guard.BlockedCount(now) == 0);
}

TEST_CASE_METHOD(repeated_guard_fixture,
                 "repeated request: prompts share a part that ends targets: "
                 "the part is blocked and no request") {
  for (std::uint64_t i = 0; i < 3; ++i) {
    EndWith(Repeated(100 + i, {7}));
    Pass(seconds(1));
  }
  CHECK(guard.BlockedFor(Repeated(200, {7}), now)->kind == suspect_kind::kPart);
  CHECK(guard.BlockedCount(now) == 1);
}

TEST_CASE_METHOD(repeated_guard_fixture,
                 "repeated request: its block has ended: one trial frees it or "
                 "blocks it at once and everywhere") {
  EndQuickly(3, Repeated(9));
  Pass(seconds(11));
  REQUIRE_FALSE(IsRefused(Repeated(9)));
  CHECK(guard.AwaitsTrial(Repeated(9), now) == suspect_kind::kRequest);
  guard.OnSent(Repeated(9), now);
  CHECK(IsRefused(Repeated(9)));
  SECTION("a target serves it") {
    guard.OnServed(Repeated(9), now, now);
    CHECK_FALSE(IsRefused(Repeated(9)));
    CHECK_FALSE(guard.AwaitsTrial(Repeated(9), now).has_value());
  }
  SECTION("a target ends") {
    EndWith(Repeated(9));
    CHECK(guard.BlockedFor(Repeated(9), now)->remaining > seconds(59));
    prompt_guard other{daemon_id("other")};
    other.OnEvidence(guard.TakeNews(), now);
    CHECK(other.BlockedFor(Repeated(9), now)->remaining > seconds(59));
  }
}

TEST_CASE_METHOD(repeated_guard_fixture,
                 "repeated request: many others are served: served parts are "
                 "still remembered") {
  Serve({9});
  for (std::uint64_t i = 0; i < 4 * served_suspects::kGenerationSize; ++i) {
    guard.OnServed(Repeated(i), now, now);
  }
  CHECK(IsTrusted({9}));
}

}  // namespace
}  // namespace burdocklock::crashes
