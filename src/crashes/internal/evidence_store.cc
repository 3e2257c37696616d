// Merges evidence by target incarnation and by prompt part, and drops old and
// excess entries.
#include "crashes/evidence_store.h"

#include <algorithm>
#include <chrono>

namespace burdocklock::crashes {

namespace {

constexpr std::chrono::minutes kMaxEndAge{5};
constexpr std::chrono::minutes kMaxServedAge{5};
constexpr std::chrono::hours kMaxBlockAge{4};
// Reports of the same event by several routers differ by the age of their
// messages.
constexpr std::chrono::milliseconds kSameTime{100};
// Larger ages are capped, so that they cannot overflow.
constexpr std::uint64_t kMaxAgeMs = 24ULL * 3600 * 1000;

time_point At(std::uint64_t age_ms, time_point now) {
  return now - std::chrono::milliseconds(std::min(age_ms, kMaxAgeMs));
}

std::uint64_t AgeMs(time_point at, time_point now) {
  return at >= now ? 0
                   : static_cast<std::uint64_t>(
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - at)
                             .count());
}

template <typename Map, typename TimeOf>
void DropOldest(Map& entries, std::size_t limit, TimeOf time_of) {
  while (entries.size() > limit) {
    entries.erase(std::min_element(
        entries.begin(), entries.end(), [&](const auto& a, const auto& b) {
          return time_of(a.second) < time_of(b.second);
        }));
  }
}

}  // namespace

evidence evidence_store::Merge(const evidence& received, time_point now) {
  evidence news;
  for (const target_end& end : received.ends) {
    target_end changed;
    if (MergeEnd(end, now, changed)) {
      news.ends.push_back(std::move(changed));
    }
  }
  for (const served_part& served : received.served) {
    if (MergeServed(served, now)) {
      news.served.push_back(served);
    }
  }
  for (const blocked_part& blocked : received.blocked) {
    if (MergeBlocked(blocked, now)) {
      news.blocked.push_back(blocked);
    }
  }
  DropExcess();
  return news;
}

bool evidence_store::MergeEnd(const target_end& received,
                              time_point now,
                              target_end& news) {
  if (At(received.age_ms, now) + kMaxEndAge <= now) {
    return false;
  }
  const auto [found, added] =
      ends_.try_emplace({received.target, received.life},
                        end_record{.pool = received.pool,
                                   .at = At(received.age_ms, now),
                                   .suspects = {}});
  end_record& record = found->second;
  news = {.target = received.target,
          .life = received.life,
          .pool = record.pool,
          .age_ms = AgeMs(record.at, now),
          .suspects = {}};
  for (const std::uint64_t part : received.suspects) {
    if (record.suspects.size() < kMaxSuspects &&
        record.suspects.insert(part).second) {
      news.suspects.push_back(part);
    }
  }
  return added || !news.suspects.empty();
}

bool evidence_store::MergeServed(const served_part& received, time_point now) {
  const time_point at = At(received.age_ms, now);
  if (at + kMaxServedAge <= now) {
    return false;
  }
  const auto [found, added] = served_.try_emplace(received.key, at);
  if (added) {
    return true;
  }
  if (at < found->second + kSameTime) {
    return false;
  }
  found->second = at;
  return true;
}

bool evidence_store::MergeBlocked(const blocked_part& received,
                                  time_point now) {
  const block_record record{.at = At(received.age_ms, now),
                            .times_blocked = received.times_blocked};
  if (record.at + kMaxBlockAge <= now) {
    return false;
  }
  const auto [found, added] = blocked_.try_emplace(received.key, record);
  if (added) {
    return true;
  }
  if (record.at < found->second.at + kSameTime) {
    return false;
  }
  found->second = record;
  return true;
}

evidence evidence_store::All(time_point now) const {
  evidence all;
  for (const auto& [key, record] : ends_) {
    all.ends.push_back(
        {.target = key.first,
         .life = key.second,
         .pool = record.pool,
         .age_ms = AgeMs(record.at, now),
         .suspects = {record.suspects.begin(), record.suspects.end()}});
  }
  for (const auto& [key, at] : served_) {
    all.served.push_back({.key = key, .age_ms = AgeMs(at, now)});
  }
  for (const auto& [key, record] : blocked_) {
    all.blocked.push_back({.key = key,
                           .age_ms = AgeMs(record.at, now),
                           .times_blocked = record.times_blocked});
  }
  return all;
}

std::optional<time_point> evidence_store::LastServed(
    const pool_part& key) const {
  const auto found = served_.find(key);
  return found == served_.end() ? std::nullopt : std::optional(found->second);
}

void evidence_store::Expire(time_point now) {
  std::erase_if(ends_, [now](const auto& entry) {
    return entry.second.at + kMaxEndAge <= now;
  });
  std::erase_if(served_, [now](const auto& entry) {
    return entry.second + kMaxServedAge <= now;
  });
  std::erase_if(blocked_, [now](const auto& entry) {
    return entry.second.at + kMaxBlockAge <= now;
  });
}

void evidence_store::DropExcess() {
  DropOldest(ends_, kMaxEnds, [](const auto& record) { return record.at; });
  DropOldest(served_, kMaxServed, [](const auto& at) { return at; });
  DropOldest(blocked_, kMaxBlocked,
             [](const auto& record) { return record.at; });
}

}  // namespace burdocklock::crashes
