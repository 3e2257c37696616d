// Merges evidence by target incarnation and by suspect, and drops old and
// excess entries.
#include "crashes/evidence_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

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

// Each kind has a limit of its own, so that the many requests do not push out
// parts.
template <typename Map, typename TimeOf>
void DropOldestOfEachKind(Map& entries, std::size_t limit, TimeOf time_of) {
  for (const suspect_kind kind :
       {suspect_kind::kPart, suspect_kind::kRequest}) {
    auto excess = std::count_if(
        entries.begin(), entries.end(),
        [kind](const auto& entry) { return entry.first.kind == kind; });
    for (; excess > static_cast<std::ptrdiff_t>(limit); --excess) {
      entries.erase(std::min_element(
          entries.begin(), entries.end(), [&](const auto& a, const auto& b) {
            return std::pair(a.first.kind != kind, time_of(a.second)) <
                   std::pair(b.first.kind != kind, time_of(b.second));
          }));
    }
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
  for (const served_suspect& served : received.served) {
    if (MergeServed(served, now)) {
      news.served.push_back(served);
    }
  }
  for (const blocked_suspect& blocked : received.blocked) {
    if (MergeBlocked(blocked, now)) {
      news.blocked.push_back(blocked);
    }
  }
  DropExcess();
  // Otherwise hosts would send one another what none of them keeps.
  std::erase_if(news.ends, [this](const target_end& end) {
    return !ends_.contains({end.target, end.life});
  });
  std::erase_if(news.served, [this](const served_suspect& served) {
    return !served_.contains(served.key);
  });
  std::erase_if(news.blocked, [this](const blocked_suspect& blocked) {
    return !blocked_.contains(blocked.key);
  });
  return news;
}

bool evidence_store::MergeEnd(const target_end& received,
                              time_point now,
                              target_end& news) {
  if (At(received.age_ms, now) + kMaxEndAge <= now) {
    return false;
  }
  const auto [found, added] = ends_.try_emplace(
      {received.target, received.life},
      end_record{.pool = received.pool, .at = At(received.age_ms, now)});
  end_record& record = found->second;
  news = {.target = received.target,
          .life = received.life,
          .pool = record.pool,
          .age_ms = AgeMs(record.at, now)};
  for (const std::uint64_t part : received.parts) {
    if (record.parts.size() < kMaxSuspects &&
        record.parts.insert(part).second) {
      news.parts.push_back(part);
    }
  }
  for (const request_fingerprint request : received.requests) {
    if (record.requests.size() < kMaxSuspects &&
        record.requests.insert(request.value()).second) {
      news.requests.push_back(request);
    }
  }
  return added || !news.parts.empty() || !news.requests.empty();
}

bool evidence_store::MergeServed(const served_suspect& received,
                                 time_point now) {
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

bool evidence_store::MergeBlocked(const blocked_suspect& received,
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
    target_end end{.target = key.first,
                   .life = key.second,
                   .pool = record.pool,
                   .age_ms = AgeMs(record.at, now),
                   .parts = {record.parts.begin(), record.parts.end()}};
    for (const std::uint64_t request : record.requests) {
      end.requests.emplace_back(request);
    }
    all.ends.push_back(std::move(end));
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
    const pool_suspect& key) const {
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
  DropOldestOfEachKind(served_, kMaxServed, [](const auto& at) { return at; });
  DropOldestOfEachKind(blocked_, kMaxBlocked,
                       [](const auto& record) { return record.at; });
}

}  // namespace burdocklock::crashes
