// Merging of evidence: any order, repeated, bounded.
#include "crashes/evidence_store.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace burdocklock::crashes {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const time_point kNow{seconds(10'000)};
const pool_id kPool("llm");

target_end End(std::uint64_t target, std::vector<std::uint64_t> parts) {
  return {.target = target_id("t" + std::to_string(target)),
          .life = incarnation(1),
          .pool = kPool,
          .parts = std::move(parts)};
}

// Times are left out: of several reports of one end the first one counts.
std::vector<std::pair<std::string, std::set<std::uint64_t>>> Suspects(
    const evidence_store& store) {
  std::vector<std::pair<std::string, std::set<std::uint64_t>>> found;
  for (const auto& [key, end] : store.ends()) {
    found.emplace_back(key.first.value(), end.parts);
  }
  return found;
}

TEST_CASE("evidence older than all that is kept, at the bounds: no news") {
  evidence_store store;
  evidence kept;
  for (std::uint64_t id = 0; id < kMaxServed; ++id) {
    kept.served.push_back({.key = {.pool = kPool, .id = id}});
    kept.blocked.push_back({.key = {.pool = kPool, .id = id}});
    kept.ends.push_back(End(id, {id}));
  }
  store.Merge(kept, kNow);
  evidence old{.ends = {End(kMaxServed, {1})},
               .served = {{.key = {.pool = kPool, .id = kMaxServed}}},
               .blocked = {{.key = {.pool = kPool, .id = kMaxServed}}}};
  old.ends.front().age_ms = old.served.front().age_ms =
      old.blocked.front().age_ms = 5000;
  CHECK(store.Merge(old, kNow).empty());
}

TEST_CASE("evidence of several routers about one target: suspects are joined") {
  evidence_store store;
  store.Merge({.ends = {End(1, {1, 2})}}, kNow);
  const evidence news = store.Merge({.ends = {End(1, {2, 3})}}, kNow);
  CHECK(news.ends == std::vector<target_end>{End(1, {3})});
  CHECK(store.ends().begin()->second.parts == std::set<std::uint64_t>{1, 2, 3});
}

TEST_CASE("evidence in any order and repeated: the result is the same") {
  rc::prop("order and repetition do not matter", [] {
    std::vector<evidence> parts;
    const int count = *rc::gen::inRange(1, 12);
    for (int i = 0; i < count; ++i) {
      parts.push_back(
          {.ends = {End(*rc::gen::inRange<std::uint64_t>(0, 4),
                        *rc::gen::container<std::vector<std::uint64_t>>(
                            rc::gen::inRange<std::uint64_t>(0, 6)))}});
    }
    evidence_store first;
    for (const evidence& part : parts) {
      first.Merge(part, kNow);
    }
    std::reverse(parts.begin(), parts.end());
    evidence_store second;
    for (const evidence& part : parts) {
      second.Merge(part, kNow);
      second.Merge(part, kNow);
    }
    second.Merge(first.All(kNow), kNow);
    RC_ASSERT(Suspects(first) == Suspects(second));
    RC_ASSERT(first.Merge(second.All(kNow), kNow).empty());
  });
}

TEST_CASE("evidence without end: entries stay within their bounds") {
  evidence_store store;
  std::vector<std::uint64_t> many;
  for (std::uint64_t i = 0; i < 2 * kMaxSuspects; ++i) {
    many.push_back(i);
  }
  for (std::uint64_t i = 0; i < 2 * kMaxServed; ++i) {
    const pool_suspect key{.pool = kPool, .id = i};
    store.Merge({.ends = {End(i, i % 100 == 0 ? many : std::vector{i})},
                 .served = {{.key = key}},
                 .blocked = {{.key = key}}},
                kNow + std::chrono::milliseconds(i));
  }
  CHECK(store.ends().size() == kMaxEnds);
  CHECK(store.blocked().size() == kMaxBlocked);
  CHECK(store.All(kNow).served.size() == kMaxServed);
  for (const auto& [key, end] : store.ends()) {
    CHECK(end.parts.size() <= kMaxSuspects);
  }
}

TEST_CASE("evidence about many requests: parts are not dropped for it") {
  evidence_store store;
  const pool_suspect part{.pool = kPool, .id = 1};
  store.Merge({.served = {{.key = part}}, .blocked = {{.key = part}}}, kNow);
  for (std::uint64_t i = 0; i < 2 * kMaxServed; ++i) {
    const pool_suspect key{
        .pool = kPool, .id = i, .kind = suspect_kind::kRequest};
    store.Merge({.served = {{.key = key}}, .blocked = {{.key = key}}},
                kNow + std::chrono::milliseconds(i));
  }
  CHECK(store.LastServed(part).has_value());
  CHECK(store.blocked().contains(part));
  CHECK(store.All(kNow).served.size() == kMaxServed + 1);
  CHECK(store.blocked().size() == kMaxBlocked + 1);
}

TEST_CASE("old evidence: it is dropped and not taken again") {
  evidence_store store;
  const evidence sent{.ends = {End(1, {1})},
                      .served = {{.key = {.pool = kPool, .id = 1}}}};
  store.Merge(sent, kNow);
  const evidence held = store.All(kNow + minutes(6));
  store.Expire(kNow + minutes(6));
  CHECK(store.All(kNow + minutes(6)).empty());
  CHECK(store.Merge(held, kNow + minutes(6)).empty());
}

}  // namespace
}  // namespace burdocklock::crashes
