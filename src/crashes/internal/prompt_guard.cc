// Events and blocks. The evidence is weighed in evidence_weighing.cc.
#include "crashes/prompt_guard.h"

#include <algorithm>
#include <chrono>

#include "crashes/internal/block_terms.h"
#include "targets/rendezvous.h"

namespace burdocklock::crashes {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Two parts that explain the same ends are both blocked only after this many.
constexpr std::size_t kMinEndsOfTied = 5;
// Routers end a block one after the other within this fraction of it, so that
// the first one tries alone.
constexpr double kReleaseSpread = 0.5;
// How long the outcome of a trial is awaited.
constexpr seconds kTrialTime{15};

std::uint64_t AgeMs(time_point at, time_point now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now - at).count());
}

template <typename Visit>
void ForEachShared(const targets::prompt& prompt, Visit visit) {
  for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    visit(prompt.parts[i].id);
  }
}

}  // namespace

void prompt_guard::OnTargetEnded(const target_id& target,
                                 incarnation life,
                                 const pool_id& pool,
                                 const targets::prompt& suspect,
                                 time_point now) {
  target_end end{.target = target,
                 .life = life,
                 .pool = pool,
                 .suspects = SharedParts(suspect)};
  news_.Append(Learn({.ends = {std::move(end)}}, now));
}

void prompt_guard::OnServed(const pool_id& pool,
                            const targets::prompt& prompt,
                            time_point began,
                            time_point now) {
  evidence own;
  ForEachShared(prompt, [&](std::uint64_t part) {
    const pool_part key{.pool = pool, .part = part};
    served_.Remember(key, began);
    const bool is_suspect = std::any_of(
        store_.ends().begin(), store_.ends().end(), [&](const auto& entry) {
          const auto& end = entry.second;
          return end.pool == pool && end.suspects.contains(part) &&
                 store_.LastServed(key).value_or(time_point{}) < end.at;
        });
    const auto block = store_.blocked().find(key);
    if (is_suspect ||
        (block != store_.blocked().end() && !IsLifted(key, block->second))) {
      own.served.push_back({.key = key, .age_ms = AgeMs(began, now)});
    }
  });
  if (!own.empty()) {
    news_.Append(Learn(own, now));
  }
}

void prompt_guard::OnSent(const pool_id& pool,
                          const targets::prompt& prompt,
                          time_point now) {
  if (store_.blocked().empty()) {
    return;
  }
  ForEachShared(prompt, [&](std::uint64_t part) {
    const pool_part key{.pool = pool, .part = part};
    const auto block = store_.blocked().find(key);
    if (block != store_.blocked().end() && !IsLifted(key, block->second)) {
      trials_[key] = now + kTrialTime;
    }
  });
}

void prompt_guard::OnEvidence(const evidence& received, time_point now) {
  Learn(received, now);
}

void prompt_guard::OnTick(time_point now) {
  Evaluate(now);
}

void prompt_guard::SetContact(bool in_contact, time_point now) {
  in_contact_since_ = in_contact ? now : kNever;
}

evidence prompt_guard::Learn(const evidence& received, time_point now) {
  std::vector<pool_part> active;
  for (const auto& [key, block] : store_.blocked()) {
    if (IsActive(key, now)) {
      active.push_back(key);
    }
  }
  evidence learned = store_.Merge(received, now);
  for (const target_end& end : learned.ends) {
    ReportServed(end, now);
  }
  for (const blocked_part& block : learned.blocked) {
    if (IsActive(block.key, now)) {
      NoteBlocked(block.key, 0, now);
    }
  }
  for (const pool_part& key : active) {
    if (!IsActive(key, now)) {
      trials_.erase(key);
      changes_.push_back({.key = key, .blocked = false});
    }
  }
  if (!learned.ends.empty()) {
    Evaluate(now);
  }
  return learned;
}

void prompt_guard::ReportServed(const target_end& end, time_point now) {
  evidence own;
  for (const std::uint64_t part : end.suspects) {
    const pool_part key{.pool = end.pool, .part = part};
    const auto remembered = served_.Find(key);
    if (remembered && now - *remembered < kTrustTime) {
      own.served.push_back({.key = key, .age_ms = AgeMs(*remembered, now)});
    }
  }
  news_.Append(store_.Merge(own, now));
}

void prompt_guard::Evaluate(time_point now) {
  next_evaluation_ = kNever;
  store_.Expire(now);
  std::erase_if(trials_,
                [now](const auto& trial) { return trial.second <= now; });
  for (std::vector<candidate> worst = WorstParts(now); !worst.empty();
       worst = WorstParts(now)) {
    if (worst.size() > 1 && worst.front().ends < kMinEndsOfTied) {
      return;
    }
    for (const candidate& found : worst) {
      Block(found, now);
    }
    if (!IsActive(worst.front().key, now)) {
      return;
    }
  }
}

void prompt_guard::Block(const candidate& found, time_point now) {
  const auto previous = store_.blocked().find(found.key);
  const bool again = previous != store_.blocked().end() &&
                     !IsLifted(found.key, previous->second);
  const evidence own{
      .blocked = {
          {.key = found.key,
           .times_blocked = again ? previous->second.times_blocked + 1 : 1}}};
  evidence added = store_.Merge(own, now);
  // A first block follows from the evidence, so every router decides it by
  // itself.
  if (again) {
    news_.Append(std::move(added));
  }
  trials_.erase(found.key);
  NoteBlocked(found.key, found.ends, now);
}

void prompt_guard::NoteBlocked(const pool_part& key,
                               std::size_t ends,
                               time_point now) {
  const evidence_store::block_record& block = store_.blocked().at(key);
  changes_.push_back({.key = key,
                      .blocked = true,
                      .ends = ends,
                      .times_blocked = block.times_blocked,
                      .remaining = EndOf(key, block) - now});
}

std::optional<duration> prompt_guard::BlockedFor(const pool_id& pool,
                                                 const targets::prompt& prompt,
                                                 time_point now) const {
  if (store_.blocked().empty()) {
    return std::nullopt;
  }
  std::optional<duration> longest;
  ForEachShared(prompt, [&](std::uint64_t part) {
    const pool_part key{.pool = pool, .part = part};
    const auto block = store_.blocked().find(key);
    if (block == store_.blocked().end() || IsLifted(key, block->second)) {
      return;
    }
    const time_point end = EndOf(key, block->second);
    const auto trial = trials_.find(key);
    const time_point until =
        trial == trials_.end() ? end : std::max(end, trial->second);
    if (until > now) {
      longest = std::max(longest.value_or(duration::zero()), until - now);
    }
  });
  return longest;
}

bool prompt_guard::IsTrusted(const pool_id& pool,
                             const targets::prompt& prompt,
                             time_point now) const {
  bool trusted = true;
  ForEachShared(prompt, [&](std::uint64_t part) {
    const pool_part key{.pool = pool, .part = part};
    const time_point last =
        std::max(store_.LastServed(key).value_or(time_point{}),
                 served_.Find(key).value_or(time_point{}));
    trusted &= last != time_point{} && now - last < kTrustTime &&
               MomentsSince(key, last) < 2;
  });
  return trusted;
}

evidence prompt_guard::TakeNews() {
  return std::exchange(news_, {});
}

evidence prompt_guard::KnownEvidence(time_point now) const {
  evidence known = store_.All(now);
  std::erase_if(known.blocked, [](const blocked_part& block) {
    return block.times_blocked == 1;
  });
  return known;
}

std::vector<block_change> prompt_guard::TakeChanges() {
  return std::exchange(changes_, {});
}

std::size_t prompt_guard::BlockedCount(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      store_.blocked().begin(), store_.blocked().end(),
      [&](const auto& entry) { return IsActive(entry.first, now); }));
}

bool prompt_guard::IsActive(const pool_part& key, time_point now) const {
  const auto block = store_.blocked().find(key);
  return block != store_.blocked().end() && !IsLifted(key, block->second) &&
         EndOf(key, block->second) > now;
}

bool prompt_guard::IsLifted(const pool_part& key,
                            const evidence_store::block_record& block) const {
  const auto served = store_.LastServed(key);
  // All blamed ends were older than the evidence age.
  return served && *served > block.at - kMinEvidenceAge;
}

time_point prompt_guard::EndOf(
    const pool_part& key,
    const evidence_store::block_record& block) const {
  constexpr std::uint64_t kSteps = 1024;
  const double place =
      static_cast<double>(targets::RendezvousWeight(key.part, self_.value()) %
                          kSteps) /
      kSteps;
  const duration time = BlockTime(block.times_blocked);
  return block.at + time +
         std::chrono::duration_cast<duration>(time * (kReleaseSpread * place));
}

}  // namespace burdocklock::crashes
