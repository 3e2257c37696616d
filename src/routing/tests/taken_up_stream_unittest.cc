// Streams that their callers take up go on only where they began.
#include <algorithm>
#include <chrono>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

using refusals::refusal_reason;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct take_up_fixture : router_fixture {
  take_up_fixture() {
    for (const char* name : {"a1", "a2"}) {
      AnnounceVersion(name, "v1");
    }
    for (const char* name : {"b1", "b2", "b3"}) {
      AnnounceVersion(name, "v2");
    }
  }
  void AnnounceVersion(
      const std::string& name,
      const std::string& version,
      targets::target_state state = targets::target_state::kReady,
      duration age = duration::zero()) {
    targets::announcement announcement = Target(name, 1, ++at_ms);
    announcement.version = software_version(version);
    announcement.state = state;
    announcement.cold_slots = announcement.slots;
    Announce(announcement, age);
  }
  request_seq Submit(std::optional<stream_key> stream,
                     bool taken_up,
                     const std::string& pool = "lamp-llm") {
    const request_spec spec{.id = request_seq(++last_request),
                            .customer = customer_id("c1"),
                            .pool = pool_id("lamp-llm"),
                            .kind = call_kind::kStreamedGeneration,
                            .prompt_tokens = 10,
                            .resumable = true,
                            .stream = stream,
                            .taken_up = taken_up,
                            .route_pools = {pool_id(pool)}};
    effects out;
    router.OnRequest(spec, now, out);
    Record(out);
    return spec.id;
  }
  request_seq Begin(stream_key key) {
    const request_seq id = Submit(key, false);
    REQUIRE(running.contains(id));
    Deliver(id);
    return id;
  }
  void Deliver(request_seq id) {
    Report(id, attempt_sending{});
    Report(id, attempt_first_output{});
    running.at(id).delivered = true;
  }
  void Leave(request_seq id) {
    effects out;
    router.OnCallerLeft(id, now, out);
    Record(out);
    Fail(id, failure_kind::kCancelled);
  }
  void Answer(stream_key key, const std::optional<std::string>& version) {
    std::optional<streams::stream_origin> origin;
    if (version) {
      origin = streams::stream_origin{.pool = pool_id("lamp-llm"),
                                      .version = software_version(*version)};
    }
    effects out;
    router.OnStreamOrigin(key, origin, now, out);
    Record(out);
  }
  // Answers the last question as the router's own records do.
  void AnswerFromBegun() {
    REQUIRE_FALSE(asked.empty());
    const auto record = std::find_if(
        begun.begin(), begun.end(),
        [&](const auto& known) { return known.key == asked.back(); });
    REQUIRE(record != begun.end());
    effects out;
    router.OnStreamOrigin(record->key, record->origin, now, out);
    Record(out);
  }
  char VersionOf(request_seq id) {
    return running.at(id).target.value().front();
  }
  void CheckRefused(request_seq id, refusal_reason reason, bool may_return) {
    CHECK_FALSE(running.contains(id));
    CHECK(end_counts[id] == 1);
    REQUIRE_FALSE(refusals.empty());
    CHECK(refusals.back().request == id);
    CHECK(refusals.back().reason == reason);
    CHECK(refusals.back().run == refusals::run_state::kNotRun);
    CHECK(refusals.back().retry_after.has_value() == may_return);
  }

  std::uint64_t at_ms = 1;
};

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up at the router that began it while two "
                 "software versions serve: it goes on at its version") {
  for (std::uint64_t key = 1; key <= 20; ++key) {
    const request_seq first = Begin(stream_key(key));
    const char version = VersionOf(first);
    Leave(first);
    for (int taken_up = 0; taken_up < 3; ++taken_up) {
      const request_seq id = Submit(stream_key(key), true);
      AnswerFromBegun();
      REQUIRE(running.contains(id));
      CHECK(VersionOf(id) == version);
      Deliver(id);
      Leave(id);
    }
  }
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up at another router while two software "
                 "versions serve: held until its version is known") {
  for (std::uint64_t key = 1; key <= 10; ++key) {
    const bool at_first = key % 2 == 0;
    const request_seq id = Submit(stream_key(key), true);
    const request_seq again = Submit(stream_key(key), true);
    CHECK_FALSE(running.contains(id));
    CHECK(router.totals().waiting == 0);
    REQUIRE(asked.size() == key);
    CHECK(asked.back() == stream_key(key));
    now += milliseconds(20);
    Answer(stream_key(key), at_first ? "v1" : "v2");
    for (const request_seq held : {id, again}) {
      REQUIRE(running.contains(held));
      CHECK(VersionOf(held) == (at_first ? 'a' : 'b'));
      Deliver(held);
      Report(held, attempt_completed{});
    }
    CHECK(begun.back().key == stream_key(key));
    CHECK(begun.back().origin.version ==
          software_version(at_first ? "v1" : "v2"));
  }
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream begins: noted once, with its first event") {
  const request_seq id = Submit(stream_key(1), false);
  Report(id, attempt_sending{});
  Fail(id, failure_kind::kBroken);
  REQUIRE(running.contains(id));
  CHECK(begun.empty());
  Deliver(id);
  const char version = VersionOf(id);
  REQUIRE(begun.size() == 1);
  CHECK(begun[0].origin.version ==
        software_version(version == 'a' ? "v1" : "v2"));
  CHECK(begun[0].remaining > milliseconds(0));
  Fail(id, failure_kind::kBroken);
  REQUIRE(running.contains(id));
  CHECK(VersionOf(id) == version);
  Deliver(id);
  CHECK(begun.size() == 1);
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up and nobody knows where it began: refused "
                 "at once") {
  const request_seq id = Submit(stream_key(7), true);
  Answer(stream_key(7), std::nullopt);
  CheckRefused(id, refusal_reason::kOriginUnknown, false);
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up and nobody answers where it began: "
                 "refused before long, a late answer has no effect") {
  const request_seq id = Submit(stream_key(7), true);
  Advance(milliseconds(350));
  CheckRefused(id, refusal_reason::kOriginUnanswered, true);
  Answer(stream_key(7), "v1");
  CHECK_FALSE(running.contains(id));
  CHECK(end_counts[id] == 1);
  // Asked for again.
  Submit(stream_key(7), true);
  CHECK(asked.size() == 2);
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up, its caller leaves before it is known "
                 "where it began: nothing runs") {
  const request_seq id = Submit(stream_key(7), true);
  effects out;
  router.OnCallerLeft(id, now, out);
  Record(out);
  Answer(stream_key(7), "v1");
  CHECK_FALSE(running.contains(id));
  CHECK(end_counts[id] == 1);
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up and its software version is gone: refused "
                 "at once as not run") {
  const request_seq first = Begin(stream_key(1));
  const std::string version = VersionOf(first) == 'a' ? "v1" : "v2";
  Leave(first);
  for (const char* name : {"a1", "a2", "b1", "b2", "b3"}) {
    const std::string own = name[0] == 'a' ? "v1" : "v2";
    if (own == version) {
      AnnounceVersion(name, own, targets::target_state::kLeaving);
    }
  }
  const request_seq id = Submit(stream_key(1), true);
  AnswerFromBegun();
  CheckRefused(id, refusal_reason::kVersionGone, false);
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up and its route has moved to another "
                 "service: refused at once") {
  Leave(Begin(stream_key(1)));
  const request_seq id = Submit(stream_key(1), true, "other-llm");
  AnswerFromBegun();
  CheckRefused(id, refusal_reason::kServiceChanged, false);
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up and its caller does not say where it "
                 "began: refused where targets name versions") {
  CheckRefused(Submit(std::nullopt, true), refusal_reason::kOriginUnknown,
               false);
}

TEST_CASE_METHOD(router_fixture,
                 "stream is taken up where targets name no versions: goes on") {
  Announce(Target("a"));
  effects out;
  router.OnRequest({.id = request_seq(1),
                    .customer = customer_id("c1"),
                    .pool = pool_id("lamp-llm"),
                    .resumable = true,
                    .taken_up = true,
                    .route_pools = {pool_id("lamp-llm")}},
                   now, out);
  Record(out);
  CHECK(running.contains(request_seq(1)));
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up at a router that has just started and has "
                 "not heard of its version: it waits for the targets") {
  const request_seq id = Submit(stream_key(1), true);
  Answer(stream_key(1), "v3");
  CHECK(end_counts[id] == 0);
  SECTION("they announce themselves") {
    Advance(seconds(1));
    AnnounceVersion("c1", "v3");
    REQUIRE(running.contains(id));
    CHECK(VersionOf(id) == 'c');
  }
  SECTION("they do not") {
    Advance(seconds(4));
    CheckRefused(id, refusal_reason::kVersionGone, false);
    const request_seq later = Submit(stream_key(2), true);
    Answer(stream_key(2), "v3");
    CheckRefused(later, refusal_reason::kVersionGone, false);
  }
}

TEST_CASE_METHOD(take_up_fixture,
                 "stream is taken up at a new router, its version was heard of "
                 "long ago: it waits") {
  AnnounceVersion("c1", "v3", targets::target_state::kReady, seconds(20));
  const request_seq id = Submit(stream_key(1), true);
  Answer(stream_key(1), "v3");
  CHECK_FALSE(running.contains(id));
  CHECK(end_counts[id] == 0);
  SECTION("another control host has heard of it since") {
    Advance(milliseconds(300));
    AnnounceVersion("c1", "v3", targets::target_state::kReady,
                    milliseconds(200));
    REQUIRE(running.contains(id));
    CHECK(VersionOf(id) == 'c');
  }
  SECTION("none has") {
    Advance(seconds(4));
    CheckRefused(id, refusal_reason::kVersionGone, false);
  }
}

struct late_version_fixture : take_up_fixture {
  // Long after the start, with targets of one version only.
  late_version_fixture() {
    for (const char* name : {"b1", "b2", "b3"}) {
      AnnounceVersion(name, "v2", targets::target_state::kLeaving);
    }
    now += seconds(5);
    for (const char* name : {"a1", "a2"}) {
      AnnounceVersion(name, "v1");
    }
  }
};

TEST_CASE_METHOD(late_version_fixture,
                 "stream is taken up at a router that learns late of a new "
                 "version: refused until then, goes on there afterwards") {
  const request_seq early = Submit(stream_key(1), true);
  Answer(stream_key(1), "v3");
  CheckRefused(early, refusal_reason::kVersionGone, false);
  AnnounceVersion("c1", "v3");
  const request_seq late = Submit(stream_key(1), true);
  Answer(stream_key(1), "v3");
  REQUIRE(running.contains(late));
  CHECK(VersionOf(late) == 'c');
}

TEST_CASE_METHOD(late_version_fixture,
                 "stream is taken up, nobody knows where it began and one "
                 "version is known: refused, as there may be another") {
  const request_seq id = Submit(stream_key(1), true);
  Answer(stream_key(1), std::nullopt);
  CheckRefused(id, refusal_reason::kOriginUnknown, false);
}

}  // namespace
}  // namespace burdocklock::routing
