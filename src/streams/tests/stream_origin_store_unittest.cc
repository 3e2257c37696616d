// Records of streams: bounded in number and time, never guessed.
#include "streams/stream_origin_store.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <malloc.h>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace burdocklock::streams {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point kNow{seconds(10'000)};

stream_origin Origin(const std::string& version) {
  return {.pool = pool_id("llm"), .version = software_version(version)};
}

stream_record Record(std::uint64_t key,
                     const std::string& version,
                     milliseconds remaining = seconds(30)) {
  return {.key = stream_key(key),
          .origin = Origin(version),
          .remaining = remaining};
}

TEST_CASE("stream: recorded: found until its time is over") {
  stream_origin_store store(8);
  CHECK(store.Record(Record(1, "v1"), kNow) == record_result::kAdded);
  const auto found = store.Find(stream_key(1), kNow + seconds(29));
  REQUIRE(found.has_value());
  CHECK(found->origin == Origin("v1"));
  CHECK(found->remaining == seconds(1));
  CHECK_FALSE(store.Find(stream_key(1), kNow + seconds(30)).has_value());
  CHECK_FALSE(store.Find(stream_key(2), kNow).has_value());
  store.Expire(kNow + seconds(30));
  CHECK(store.size() == 0);
}

TEST_CASE("stream: recorded again for longer and shorter: the longer holds") {
  stream_origin_store store(8);
  store.Record(Record(1, "v1", seconds(10)), kNow);
  CHECK(store.Record(Record(1, "v1", seconds(20)), kNow) ==
        record_result::kRenewed);
  CHECK(store.Record(Record(1, "v1", seconds(5)), kNow) ==
        record_result::kRenewed);
  CHECK(store.Find(stream_key(1), kNow)->remaining == seconds(20));
  CHECK(store.size() == 1);
}

TEST_CASE("stream: recorded for no time, or an absurd one: ignored, capped") {
  stream_origin_store store(8);
  CHECK(store.Record(Record(1, "v1", milliseconds(0)), kNow) ==
        record_result::kIgnored);
  CHECK(store.Record(Record(2, "v1", milliseconds::min()), kNow) ==
        record_result::kIgnored);
  CHECK(store.Record(Record(3, "v1", milliseconds::max()), kNow) ==
        record_result::kAdded);
  CHECK(store.Find(stream_key(3), kNow)->remaining == kMaxRemaining);
  CHECK(store.size() == 1);
}

TEST_CASE("stream: two origins told: unknown from then on, reported once") {
  stream_origin_store store(8);
  store.Record(Record(1, "v1"), kNow);
  CHECK(store.Record(Record(1, "v2"), kNow) == record_result::kContradiction);
  CHECK_FALSE(store.Find(stream_key(1), kNow).has_value());
  CHECK(store.IsContradicted(stream_key(1), kNow));
  CHECK(store.Record(Record(1, "v1"), kNow) == record_result::kContradicted);
  CHECK(store.Record(Record(1, "v2"), kNow) == record_result::kContradicted);
  CHECK_FALSE(store.Find(stream_key(1), kNow).has_value());
  CHECK(store.All(kNow).empty());
  // The later record would else count as the first once the other is over.
  store.Record(Record(1, "v2", seconds(50)), kNow);
  store.Expire(kNow + seconds(40));
  CHECK(store.Record(Record(1, "v2"), kNow + seconds(40)) ==
        record_result::kContradicted);
}

TEST_CASE("streams of equal versions of two pools: told apart") {
  stream_origin_store store(8);
  store.Record(Record(1, "v1"), kNow);
  stream_record other = Record(1, "v1");
  other.origin.pool = pool_id("other");
  CHECK(store.Record(other, kNow) == record_result::kContradiction);
}

TEST_CASE("store: full: the stream that expires first is dropped and counted") {
  stream_origin_store store(2);
  store.Record(Record(1, "v1", seconds(20)), kNow);
  store.Record(Record(2, "v1", seconds(10)), kNow);
  store.Record(Record(3, "v1", seconds(30)), kNow);
  CHECK(store.size() == 2);
  CHECK(store.dropped() == 1);
  CHECK_FALSE(store.Find(stream_key(2), kNow).has_value());
  CHECK(store.Find(stream_key(1), kNow).has_value());
  store.Record(Record(4, "v1", seconds(1)), kNow);
  CHECK_FALSE(store.Find(stream_key(4), kNow).has_value());
  CHECK(store.dropped() == 2);
}

TEST_CASE("store: full of streams whose time is over: none counts as dropped") {
  stream_origin_store store(2);
  store.Record(Record(1, "v1", seconds(1)), kNow);
  store.Record(Record(2, "v1", seconds(1)), kNow);
  store.Record(Record(3, "v1"), kNow + seconds(2));
  CHECK(store.size() == 1);
  CHECK(store.dropped() == 0);
}

TEST_CASE("origins: names too long, or too many: streams are not kept") {
  stream_origin_store store(10'000);
  CHECK(store.Record(Record(1, std::string(kMaxVersionBytes + 1, 'v')), kNow) ==
        record_result::kIgnored);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    store.Record(Record(i, "v" + std::to_string(i)), kNow);
  }
  CHECK(store.size() == 4096);
  CHECK(store.dropped() == 905);
  CHECK_FALSE(store.Find(stream_key(4999), kNow).has_value());
  // Room is found again once the streams of an origin are over.
  CHECK(store.Record(Record(9999, "new"), kNow + seconds(31)) ==
        record_result::kAdded);
}

// What was recorded, without bounds.
struct model_entry {
  std::vector<stream_origin> origins;
  time_point expires;
};

TEST_CASE(
    "store: any records at any times: answers are those recorded, or "
    "unknown; bounded") {
  rc::prop("never guesses", [] {
    const auto capacity = *rc::gen::inRange<std::size_t>(1, 12);
    stream_origin_store store(capacity);
    std::map<std::uint64_t, model_entry> model;
    time_point now = kNow;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 12'000));
      const auto key = *rc::gen::inRange<std::uint64_t>(0, 16);
      const std::string version =
          "v" + std::to_string(
                    *rc::gen::weightedElement<int>({{12, 1}, {1, 2}, {1, 3}}));
      const milliseconds remaining(*rc::gen::inRange(-1000, 300'000));
      store.Record(Record(key, version, remaining), now);
      if (remaining > milliseconds(0)) {
        model_entry& known = model[key];
        if (known.expires <= now) {
          known = {};
        }
        known.origins.push_back(Origin(version));
        known.expires =
            std::max(known.expires, now + std::min(remaining, kMaxRemaining));
      }
      RC_ASSERT(store.size() <= capacity);
      std::size_t live = 0;
      for (const auto& [id, known] : model) {
        live += known.expires > now ? 1U : 0U;
        const auto found = store.Find(stream_key(id), now);
        if (!found) {
          continue;
        }
        RC_ASSERT(known.expires > now);
        RC_ASSERT(found->origin == known.origins.back());
        const bool same = std::all_of(
            known.origins.begin(), known.origins.end(),
            [&](const auto& origin) { return origin == found->origin; });
        // A contradiction is forgotten only with the record.
        RC_ASSERT(same || store.dropped() > 0);
        RC_ASSERT(now + found->remaining <= known.expires + milliseconds(1));
      }
      // All that is missing was dropped, or contradicted.
      if (store.dropped() == 0) {
        std::size_t held = 0;
        for (const auto& [id, known] : model) {
          held += store.Find(stream_key(id), now) ||
                          store.IsContradicted(stream_key(id), now)
                      ? 1U
                      : 0U;
        }
        RC_ASSERT(held == live);
      }
      RC_ASSERT(store.All(now).size() <= store.size());
    }
  });
}

TEST_CASE("store of a control host: full: memory within 64 MB") {
  const std::size_t before = mallinfo2().uordblks;
  stream_origin_store store(kControlHostCapacity);
  for (std::uint64_t i = 0; i < kControlHostCapacity + 1000; ++i) {
    // Spread like hashes.
    store.Record(Record(i * 0x9e3779b97f4a7c15, "v" + std::to_string(i % 3),
                        kMaxRemaining),
                 kNow + milliseconds(i / 10));
  }
  const std::size_t bytes = mallinfo2().uordblks - before;
  // 0 with sanitizers, which have their own heap.
  CAPTURE(bytes);
  CHECK(store.size() == kControlHostCapacity);
  CHECK(bytes < kControlHostCapacity * 120);
}

}  // namespace
}  // namespace burdocklock::streams
