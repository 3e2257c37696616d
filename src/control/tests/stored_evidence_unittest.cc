// Evidence that control hosts keep on disk: what becomes of it with the clocks
// of another start.
#include "control/stored_evidence.h"

#include <string>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "crashes/evidence_store.h"

namespace burdocklock::control {
namespace {

using crashes::evidence;
using crashes::suspect_kind;

constexpr std::uint64_t kHourMs = 3'600'000;
constexpr std::uint64_t kMinuteMs = 60'000;

struct stored_evidence_fixture {
  evidence known{
      .ends = {{.target = target_id("t1"),
                .life = incarnation(4),
                .pool = pool_id("desk"),
                .age_ms = 900,
                .parts = {3, 4},
                .requests = {request_fingerprint(7)}}},
      .served = {{.key = {.pool = pool_id("desk"), .id = 3}, .age_ms = 50}},
      .blocked = {{.key = {.pool = pool_id("desk"),
                           .id = 7,
                           .kind = suspect_kind::kRequest},
                   .age_ms = 100,
                   .times_blocked = 2}}};
  clock_reading written{.wall_ms = 100 * kHourMs,
                        .running_ms = 5 * kHourMs,
                        .boot = "first"};

  evidence ReadAt(const clock_reading& now) const {
    dropped_entries dropped;
    const auto read = DecodeStored(EncodeStored(known, written), now, dropped);
    CHECK(dropped.count == 0);
    REQUIRE(read.has_value());
    return read.value();
  }
  static clock_reading After(clock_reading reading,
                             std::uint64_t running_ms,
                             std::int64_t wall_ms) {
    reading.running_ms += running_ms;
    reading.wall_ms += static_cast<std::uint64_t>(wall_ms);
    return reading;
  }
};

TEST_CASE_METHOD(stored_evidence_fixture,
                 "stored evidence: read at once: the same") {
  CHECK(ReadAt(written) == known);
}

TEST_CASE_METHOD(stored_evidence_fixture,
                 "stored evidence: wall clock is set meanwhile: older by the "
                 "time that passed") {
  const std::int64_t step = GENERATE(0, 86'400'000, -86'400'000);
  const evidence read = ReadAt(After(written, 1500, 1500 + step));
  CHECK(read.ends[0].age_ms == 2400);
  CHECK(read.served[0].age_ms == 1550);
  CHECK(read.blocked[0].age_ms == 1600);
  CHECK(read.blocked[0].times_blocked == 2);
}

TEST_CASE_METHOD(stored_evidence_fixture,
                 "stored evidence: host boots meanwhile: older by the time of "
                 "the wall clock") {
  clock_reading now = After(written, 0, 20'000);
  now.running_ms = 10;
  now.boot = "second";
  const evidence read = ReadAt(now);
  CHECK(read.ends[0].age_ms == 20'900);
  CHECK(read.served[0].age_ms == 20'050);
  CHECK(read.blocked[0].age_ms == 20'100);
}

TEST_CASE_METHOD(stored_evidence_fixture,
                 "stored evidence: host boots and its clock is wrong: blocks "
                 "neither vanish nor last longer, nothing seems served") {
  clock_reading now = After(written, 0, 86'400'000);
  now.running_ms = 10;
  now.boot = GENERATE("second", "");
  const evidence later = ReadAt(now);
  CHECK(later.ends[0].age_ms == 900 + kMinuteMs);
  CHECK(later.blocked[0].age_ms == 100 + kMinuteMs);
  CHECK(later.served.empty());
  now.wall_ms = written.wall_ms - kHourMs;
  const evidence earlier = ReadAt(now);
  CHECK(earlier.ends[0].age_ms == 900);
  CHECK(earlier.blocked[0].age_ms == 100);
  CHECK(earlier.served.empty());
}

TEST_CASE_METHOD(stored_evidence_fixture,
                 "stored evidence: written by later software: what is known is "
                 "read") {
  auto stored = nlohmann::json::from_cbor(EncodeStored(known, written));
  stored.push_back("of later software");
  std::string bytes;
  nlohmann::json::to_cbor(stored, bytes);
  dropped_entries dropped;
  const auto read = DecodeStored(bytes, written, dropped);
  REQUIRE(read.has_value());
  CHECK(read.value() == known);
}

TEST_CASE("stored evidence: at all bounds: within the bound of its file") {
  evidence most;
  for (std::uint64_t i = 0; i < crashes::kMaxEnds; ++i) {
    crashes::target_end end{.target = target_id(std::string(64, 't')),
                            .life = incarnation(i),
                            .pool = pool_id(std::string(64, 'p')),
                            .age_ms = kHourMs};
    for (std::uint64_t id = 0; id < crashes::kMaxSuspects; ++id) {
      end.parts.push_back(~id);
      end.requests.emplace_back(~id);
    }
    most.ends.push_back(std::move(end));
  }
  for (std::uint64_t i = 0; i < 2 * crashes::kMaxServed; ++i) {
    most.served.push_back(
        {.key = {.pool = pool_id(std::string(64, 'p')), .id = ~i}});
  }
  const std::string bytes = EncodeStored(most, {});
  CHECK(bytes.size() <= kMaxStoredEvidenceBytes);
  WARN(bytes.size() << " B at all bounds");
}

TEST_CASE("stored evidence: any bytes: an error or evidence, no crash") {
  rc::prop("no crash", [](const std::vector<std::uint8_t>& bytes) {
    dropped_entries dropped;
    const auto read =
        DecodeStored(std::string(bytes.begin(), bytes.end()), {}, dropped);
    RC_ASSERT(read || read.error().code == error_code::kMalformed);
  });
}

}  // namespace
}  // namespace burdocklock::control
