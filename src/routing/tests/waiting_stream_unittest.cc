// Streams that broke off and wait for room at their software version leave
// other requests alone.
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/tests/router_fixture.h"

namespace burdocklock::routing {
namespace {

struct waiting_stream_fixture : router_fixture {
  waiting_stream_fixture() {
    router.SetRetryOptions({.ratio = 1.0, .per_second = 1000, .burst = 1000});
  }
  void AnnounceSlots(
      const std::string& name,
      const std::string& version,
      std::uint32_t slots,
      targets::target_state state = targets::target_state::kReady) {
    targets::announcement announcement = Target(name, 1, ++at_ms);
    announcement.state = state;
    announcement.version = software_version(version);
    announcement.slots = announcement.cold_slots = slots;
    Announce(announcement);
  }
  request_seq Submit(const std::string& customer,
                     std::optional<stream_key> taken_up = {}) {
    request_spec spec{.id = request_seq(++last_request),
                      .customer = customer_id(customer),
                      .pool = pool_id("lamp-llm"),
                      .kind = call_kind::kStreamedGeneration,
                      .prompt_tokens = 1000,
                      .resumable = true,
                      .stream = taken_up,
                      .taken_up = taken_up.has_value(),
                      .route_pools = {pool_id("lamp-llm")}};
    spec.prompt = targets::prompt{
        .input_tokens = spec.prompt_tokens,
        .parts = {{.id = spec.id.value(), .tokens = spec.prompt_tokens}}};
    effects out;
    router.OnRequest(spec, now, out);
    Record(out);
    return spec.id;
  }
  std::vector<request_seq> BeginStreams(int count) {
    std::vector<request_seq> streams;
    for (int i = 0; i < count; ++i) {
      const request_seq id = Submit("c1");
      REQUIRE(running.contains(id));
      Report(id, attempt_sending{});
      Report(id, attempt_first_output{});
      running.at(id).delivered = true;
      streams.push_back(id);
    }
    return streams;
  }
  void Answer(stream_key key, const std::string& version) {
    effects out;
    router.OnStreamOrigin(
        key,
        streams::stream_origin{.pool = pool_id("lamp-llm"),
                               .version = software_version(version)},
        now, out);
    Record(out);
  }
  // "a" of v1, which leaves then, and a full target of the same version.
  std::vector<request_seq> BeginWhereNoneCanGoOn(int count) {
    AnnounceSlots("a", "v1", static_cast<std::uint32_t>(count));
    std::vector<request_seq> streams = BeginStreams(count);
    AnnounceSlots("a", "v1", static_cast<std::uint32_t>(count), kLeaving);
    AnnounceSlots("full", "v1", 1);
    BeginStreams(1);
    return streams;
  }
  void BreakOff(const std::vector<request_seq>& streams) {
    for (const request_seq id : streams) {
      Fail(id, failure_kind::kBroken);
    }
  }
  double ReportedWaiting(const std::string& customer) {
    for (const auto& flow : router.OwnLoad(now).customers) {
      if (flow.customer == customer_id(customer)) {
        return flow.waiting;
      }
    }
    return 0;
  }

  static constexpr auto kLeaving = targets::target_state::kLeaving;
  std::uint64_t at_ms = 1;
};

TEST_CASE_METHOD(waiting_stream_fixture,
                 "broken streams wait for their version: they are not reported "
                 "as work that waits within its share") {
  BreakOff(BeginWhereNoneCanGoOn(8));
  REQUIRE(router.totals().waiting == 8);
  Advance(std::chrono::milliseconds(100));
  const request_seq other = Submit("c2");
  REQUIRE_FALSE(running.contains(other));
  CHECK(ReportedWaiting("c1") == 0);
  CHECK(ReportedWaiting("c2") > 0);
}

TEST_CASE_METHOD(waiting_stream_fixture,
                 "more broken streams wait than a customer may queue requests: "
                 "its new requests are served") {
  const auto queued = static_cast<int>(Options().max_queued_per_customer);
  const int count = GENERATE_COPY(queued + 1, 5 * queued);
  BreakOff(BeginWhereNoneCanGoOn(count));
  REQUIRE(router.totals().waiting == static_cast<std::size_t>(count));
  AnnounceSlots("b", "v2", 4);
  const request_seq id = Submit("c1");
  CHECK(running.contains(id));
  CHECK(refusals.empty());
}

TEST_CASE_METHOD(waiting_stream_fixture,
                 "broken streams wait that a target of their version has "
                 "turned away: one that is taken up gets its room") {
  constexpr int kStreams = 6;
  const std::vector<request_seq> streams = BeginWhereNoneCanGoOn(kStreams);
  AnnounceSlots("b", "v1", kStreams);
  BreakOff(streams);
  for (const request_seq id : streams) {
    REQUIRE(running.at(id).target == target_id("b"));
    Report(id, attempt_sending{});
    Fail(id, failure_kind::kNotAdmitted);
  }
  REQUIRE(router.totals().waiting == kStreams);
  const stream_key key(77);
  const request_seq id = Submit("c1", key);
  Answer(key, "v1");
  // "b" is left alone for a moment after it has turned requests away.
  Advance(std::chrono::seconds(2));
  REQUIRE(running.contains(id));
  CHECK(running.at(id).target == target_id("b"));
}

}  // namespace
}  // namespace burdocklock::routing
