// Target selection for requests without a prompt, and tracking of target load.
// See target_directory.h.
#include <algorithm>
#include <limits>
#include <utility>

#include "targets/target_directory.h"

namespace burdocklock::targets {

namespace {

// Weight of the latest sample in a target's smoothed processing rate.
constexpr double kRateSmoothing = 0.05;
// Minimum number of tokens for a sample; shorter prompts measure the processing
// rate poorly.
constexpr std::uint64_t kMinSampleTokens = 4000;
constexpr double kMinTokensPerMs = 5;
constexpr double kMaxTokensPerMs = 400;
// Fraction of a target's KV cache that running requests leave for cached parts.
constexpr double kCachedFraction = 0.4;

std::uint64_t CacheCapacity(std::uint64_t memory) {
  return static_cast<std::uint64_t>(kCachedFraction *
                                    static_cast<double>(memory));
}

}  // namespace

target_directory::candidates target_directory::Candidates(
    const pool_id& pool,
    const std::vector<target_id>& excluded,
    const placement_constraints& constraints,
    std::size_t compared,
    time_point now) {
  candidates found;
  const auto targets = by_pool_.find(pool);
  if (targets == by_pool_.end()) {
    return found;
  }
  const pool_competition& competition = CompetitionFor(pool);
  if (constraints.only) {
    const auto known = entries_.find(*constraints.only);
    if (known != entries_.end() && IsUsable(known->second, now) &&
        Fits(known->second, constraints.version, constraints.avoided)) {
      AddCandidate(known->second, excluded, competition, now, found);
    }
    found.last_resort.clear();
    return found;
  }
  const std::vector<entry*>& open = targets->second.open();
  // A random part of them is as good as all, and costs the same in any fleet.
  const std::size_t start =
      open.size() > compared
          ? random_.Below(static_cast<std::uint32_t>(open.size()))
          : 0;
  for (std::size_t i = 0; i < open.size(); ++i) {
    entry& candidate = *open[(start + i) % open.size()];
    if (IsUsable(candidate, now) &&
        Fits(candidate, constraints.version, constraints.avoided)) {
      AddCandidate(candidate, excluded, competition, now, found);
    }
    const bool has_enough =
        found.local.size() >= compared && found.remote.size() >= compared;
    if (has_enough ||
        found.local.size() + found.remote.size() >= kMaxCompared) {
      break;
    }
  }
  if (compared < kMaxCompared) {
    found.local.resize(std::min(found.local.size(), compared));
    found.remote.resize(std::min(found.remote.size(), compared));
  }
  const bool has_other = !found.local.empty() || !found.remote.empty();
  if (!found.last_resort.empty() &&
      (has_other || HasUsableOther(pool, excluded, constraints.version, now,
                                   constraints.avoided))) {
    found.last_resort.clear();
  }
  return found;
}

void target_directory::AddCandidate(entry& candidate,
                                    const std::vector<target_id>& excluded,
                                    const pool_competition& competition,
                                    time_point now,
                                    candidates& found) const {
  const bool may_send =
      candidate.shares_slot_time || (IsSharedOut(candidate, competition)
                                         ? HasFreePart(candidate, competition)
                                         : HasSlotPart(candidate, competition));
  if (may_send && HasRoom(candidate, !excluded.empty(), now)) {
    AddToGroup(candidate, excluded, found);
  }
}

void target_directory::AddToGroup(entry& candidate,
                                  const std::vector<target_id>& excluded,
                                  candidates& found) {
  if (std::find(excluded.begin(), excluded.end(), candidate.announced.target) !=
      excluded.end()) {
    found.last_resort.push_back(&candidate);
  } else if (candidate.is_local) {
    found.local.push_back(&candidate);
  } else {
    found.remote.push_back(&candidate);
  }
}

bool target_directory::HasUsableOther(
    const pool_id& pool,
    const std::vector<target_id>& tried,
    const std::optional<software_version>& version,
    time_point now,
    const std::vector<software_version>& avoided) const {
  const auto entries = by_pool_.find(pool);
  return entries != by_pool_.end() &&
         std::any_of(entries->second.all().begin(), entries->second.all().end(),
                     [&](const entry* candidate) {
                       const announcement& announced = candidate->announced;
                       return Fits(*candidate, version, avoided) &&
                              IsUsable(*candidate, now) &&
                              std::find(tried.begin(), tried.end(),
                                        announced.target) == tried.end();
                     });
}

std::optional<choice> target_directory::Choose(
    const pool_id& pool,
    const std::vector<target_id>& excluded,
    time_point now,
    const std::optional<software_version>& version,
    const std::optional<target_id>& only,
    const std::vector<software_version>& avoided) {
  const candidates found = Candidates(
      pool, excluded, {.version = version, .avoided = avoided, .only = only},
      kMaxCompared, now);
  std::vector<target_id> considered;
  for (const auto* group : {&found.local, &found.remote, &found.last_resort}) {
    if (entry* picked = PickAmong(*group, considered, now)) {
      return Grant(*picked, std::move(considered), now);
    }
  }
  return std::nullopt;
}

choice target_directory::Grant(entry& picked,
                               std::vector<target_id> considered,
                               time_point now) {
  ++picked.in_flight;
  UpdateOpen(picked);
  if (now < picked.cold_until) {
    picked.cold.TakeToken(ColdRate(picked), now);
  }
  picked.rate_limit.OnSent(rate_fraction_ * picked.rate_share, now);
  if (picked.shares_slot_time) {
    picked.slot_time.OnBegun(picked.slot_part, picked.in_flight - 1, now);
  }
  return {.grant = {.target = picked.announced.target,
                    .life = picked.announced.life,
                    .version = picked.announced.version,
                    .address = picked.announced.address,
                    .epoch = picked.ramp.epoch(),
                    .data_centre = picked.announced.data_centre,
                    .lease_epoch = picked.lease_epoch,
                    .number = ++last_grant_,
                    .in_flight = picked.InFlightOfAll()},
          .considered = std::move(considered)};
}

target_directory::entry* target_directory::PickAmong(
    const std::vector<entry*>& candidates,
    std::vector<target_id>& considered,
    time_point now) {
  if (candidates.empty()) {
    return nullptr;
  }
  if (entry* learned = PickByLearnedTime(candidates, now)) {
    considered.push_back(learned->announced.target);
    return learned;
  }
  const auto count = static_cast<std::uint32_t>(candidates.size());
  const std::uint32_t first = random_.Below(count);
  entry* best = candidates[first];
  if (count == 1) {
    considered.push_back(best->announced.target);
    return best;
  }
  const std::uint32_t second = (first + 1 + random_.Below(count - 1)) % count;
  entry* other = candidates[second];
  if (IsBetter(*other, *best)) {
    std::swap(best, other);
  }
  considered.push_back(best->announced.target);
  considered.push_back(other->announced.target);
  return best;
}

bool target_directory::IsBetter(const entry& a, const entry& b) const {
  // Compares a.in_flight / a.limit with b.in_flight / b.limit.
  const auto load_a = static_cast<std::uint64_t>(a.in_flight) * LimitOf(b);
  const auto load_b = static_cast<std::uint64_t>(b.in_flight) * LimitOf(a);
  if (load_a != load_b) {
    return load_a < load_b;
  }
  const auto reported = [](const entry& entry) {
    return entry.announced.load
               ? entry.announced.load->running + entry.announced.load->waiting
               : 0U;
  };
  return reported(a) < reported(b);
}

void target_directory::SetColdLimits(const pool_id& pool,
                                     const cold_limits& terms) {
  cold_limits_[pool] = terms;
}

void target_directory::SetCacheCapacity(const pool_id& pool,
                                        std::uint64_t tokens) {
  if (pool_memory_[pool] == tokens) {
    return;
  }
  pool_memory_[pool] = tokens;
  const auto entries = by_pool_.find(pool);
  if (entries == by_pool_.end()) {
    return;
  }
  for (entry* entry : entries->second.all()) {
    entry->prefixes = prefix_memory(CacheCapacity(tokens));
  }
}

void target_directory::SetPrefixCopying(const pool_id& pool, bool copies) {
  if (copies) {
    copying_pools_.insert(pool);
  } else {
    copying_pools_.erase(pool);
  }
}

void target_directory::SetRemoteLoad(
    const std::vector<admission::target_load>& others,
    time_point now) {
  for (auto& [target, entry] : entries_) {
    entry.remote_in_flight = 0;
    entry.remote_unread_tokens = 0;
    entry.in_flight_then = entry.in_flight;
  }
  for (const admission::target_load& load : others) {
    const auto found = entries_.find(load.target);
    if (found != entries_.end()) {
      found->second.remote_in_flight = load.in_flight;
      found->second.remote_unread_tokens = load.unread_tokens;
      if (load.rate_limit) {
        found->second.rate_limit.OnReport(*load.rate_limit, now);
      }
    }
  }
  SmoothRemoteLoad(now);
  for (auto& [target, entry] : entries_) {
    UpdateOpen(entry);
  }
}

std::vector<admission::target_load> target_directory::LocalLoad(
    time_point now) const {
  std::vector<admission::target_load> own;
  for (const auto& [target, entry] : entries_) {
    const auto rate_limit = entry.rate_limit.ToReport(now);
    if (entry.in_flight > 0 || rate_limit) {
      own.push_back({.target = target,
                     .in_flight = entry.in_flight,
                     .unread_tokens = entry.unread_tokens,
                     .rate_limit = rate_limit});
    }
  }
  return own;
}

void target_directory::UpdateProcessingRate(entry& entry,
                                            const slot_grant& grant,
                                            duration latency) {
  const double ms = ToMilliseconds(latency);
  if (grant.tokens_ahead < kMinSampleTokens || ms <= 0) {
    return;
  }
  const double seen = std::clamp(static_cast<double>(grant.tokens_ahead) / ms,
                                 kMinTokensPerMs, kMaxTokensPerMs);
  entry.tokens_per_ms += kRateSmoothing * (seen - entry.tokens_per_ms);
}

void target_directory::SetRouters(std::vector<daemon_id> routers) {
  routers_ = std::move(routers);
  for (auto& [target, entry] : entries_) {
    entry.rate_share = RateShare(target, options_.self, routers_);
    UpdateSlotTime(entry);
  }
}

double target_directory::ColdRate(const entry& entry) const {
  double rate = 0;
  for (const pool_id& pool : entry.announced.pools) {
    const auto terms = cold_limits_.find(pool);
    rate = std::max(rate, terms == cold_limits_.end() ? 0 : terms->second.rate);
  }
  return rate * entry.rate_share;
}

void target_directory::ApplyColdPeriod(entry& entry, time_point now) {
  for (const pool_id& pool : entry.announced.pools) {
    const auto memory = pool_memory_.find(pool);
    if (entry.prefixes.capacity() == 0 && memory != pool_memory_.end()) {
      entry.prefixes = prefix_memory(CacheCapacity(memory->second));
    }
  }
  if (!entry.announced.cold_for) {
    return;
  }
  // A target that announces its cold period does not need the ramp: outside
  // that period it can take all its slots, unless it has failed since.
  if (entry.ramp.epoch() == admission_ramp(1, 1).epoch()) {
    entry.ramp.RaiseTo(entry.announced.slots);
  }
  const time_point until = now + *entry.announced.cold_for;
  const bool is_cold = entry.announced.cold_for->count() > 0;
  entry.cold_until =
      is_cold ? std::max(entry.cold_until, until) : entry.cold_until;
}

void target_directory::RemoveUnread(entry& entry, std::uint64_t grant) {
  const auto found = entry.unread.find(grant);
  if (found != entry.unread.end()) {
    entry.unread_tokens -= found->second.tokens;
    entry.unread.erase(found);
  }
}

void target_directory::MarkReplaced(const slot_grant& grant) {
  if (entry* known = Find(grant)) {
    known->replaced = true;
  }
}

void target_directory::MarkUnreachable(const slot_grant& grant,
                                       time_point now) {
  if (entry* known = Find(grant)) {
    known->unreachable_at = now;
  }
}

void target_directory::OnSuspended(duration time, time_point now) {
  for (auto& [target, entry] : entries_) {
    entry.last_heard = std::min(entry.last_heard + time, now);
  }
  if (first_heard_) {
    first_heard_ = std::min(*first_heard_ + time, now);
  }
}

void target_directory::RestartSilenceTimers(time_point now) {
  for (auto& [target, entry] : entries_) {
    entry.last_heard = std::max(entry.last_heard, now);
  }
}

}  // namespace burdocklock::targets
