// Keeps records ordered by the time at which they expire. Origins are stored
// once, as few differ.
#include "streams/stream_origin_store.h"

#include <algorithm>
#include <chrono>

namespace burdocklock::streams {

namespace {

// Far more than pools and versions that serve at once; bounds the memory of
// their names.
constexpr std::size_t kMaxOrigins = 4096;

}  // namespace

record_result stream_origin_store::Record(const stream_record& record,
                                          time_point now) {
  if (record.remaining <= std::chrono::milliseconds(0)) {
    return record_result::kIgnored;
  }
  const time_point expires = now + std::min(record.remaining, kMaxRemaining);
  const auto found = entries_.find(record.key);
  if (found == entries_.end() || found->second.expires <= now) {
    return Add(record, expires, now);
  }
  Prolong(found, expires);
  entry& known = found->second;
  if (known.origin == nullptr) {
    return record_result::kContradicted;
  }
  if (known.origin->first != record.origin) {
    Release(known);
    return record_result::kContradiction;
  }
  return record_result::kRenewed;
}

record_result stream_origin_store::Add(const stream_record& record,
                                       time_point expires,
                                       time_point now) {
  Expire(now);
  const bool is_new = !origins_.contains(record.origin);
  if (capacity_ == 0 || !IsWithinLimits(record.origin) ||
      (is_new && origins_.size() >= kMaxOrigins)) {
    ++dropped_;
    return record_result::kIgnored;
  }
  const auto origin = origins_.try_emplace(record.origin).first;
  ++origin->second;
  entries_[record.key] = {.expires = expires, .origin = &*origin};
  by_expiry_.emplace(expires, record.key);
  while (entries_.size() > capacity_) {
    RemoveFirst();
    ++dropped_;
  }
  return record_result::kAdded;
}

void stream_origin_store::Prolong(entries::iterator position,
                                  time_point expires) {
  auto& [key, known] = *position;
  if (expires <= known.expires) {
    return;
  }
  by_expiry_.erase({known.expires, key});
  by_expiry_.emplace(expires, key);
  known.expires = expires;
}

std::optional<stream_record> stream_origin_store::Find(stream_key key,
                                                       time_point now) const {
  const entry* known = FindLive(key, now);
  if (known == nullptr || known->origin == nullptr) {
    return std::nullopt;
  }
  return stream_record{
      .key = key,
      .origin = known->origin->first,
      .remaining =
          std::chrono::ceil<std::chrono::milliseconds>(known->expires - now)};
}

bool stream_origin_store::IsContradicted(stream_key key, time_point now) const {
  const entry* known = FindLive(key, now);
  return known != nullptr && known->origin == nullptr;
}

const stream_origin_store::entry* stream_origin_store::FindLive(
    stream_key key,
    time_point now) const {
  const auto found = entries_.find(key);
  const bool live = found != entries_.end() && found->second.expires > now;
  return live ? &found->second : nullptr;
}

std::vector<stream_record> stream_origin_store::All(time_point now) const {
  std::vector<stream_record> all;
  all.reserve(entries_.size());
  for (const auto& [expires, key] : by_expiry_) {
    if (auto record = Find(key, now)) {
      all.push_back(*std::move(record));
    }
  }
  return all;
}

void stream_origin_store::Expire(time_point now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    RemoveFirst();
  }
}

void stream_origin_store::RemoveFirst() {
  const auto first = by_expiry_.begin();
  const auto position = entries_.find(first->second);
  Release(position->second);
  entries_.erase(position);
  by_expiry_.erase(first);
}

void stream_origin_store::Release(entry& released) {
  if (released.origin != nullptr && --released.origin->second == 0) {
    origins_.erase(released.origin->first);
  }
  released.origin = nullptr;
}

}  // namespace burdocklock::streams
