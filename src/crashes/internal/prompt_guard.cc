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
constexpr double kReleaseSpreadOfShort = 1;
// How long the outcome of a trial is awaited.
constexpr seconds kTrialTime{15};

std::uint64_t AgeMs(time_point at, time_point now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now - at).count());
}

}  // namespace

void prompt_guard::OnTargetEnded(const target_id& target,
                                 incarnation life,
                                 const request_suspects& request,
                                 time_point now) {
  target_end end{.target = target,
                 .life = life,
                 .pool = request.pool,
                 .parts = request.shared_parts};
  if (request.fingerprint) {
    end.requests.push_back(*request.fingerprint);
  }
  news_.Append(Learn({.ends = {std::move(end)}}, now));
}

void prompt_guard::OnServed(const request_suspects& request,
                            time_point began,
                            time_point now) {
  evidence own;
  request.ForEach([&](const pool_suspect& key) {
    ServedOf(key.kind).Remember(key, began);
    // Of a request that is in one end alone others hear when the next target
    // ends with it.
    const std::size_t few = key.kind == suspect_kind::kPart ? 0 : 1;
    const auto block = store_.blocked().find(key);
    if (EndsSinceServed(key) > few ||
        (block != store_.blocked().end() && !IsLifted(key, block->second))) {
      own.served.push_back({.key = key, .age_ms = AgeMs(began, now)});
    }
  });
  if (!own.empty()) {
    news_.Append(Learn(own, now));
  }
}

void prompt_guard::OnSent(const request_suspects& request, time_point now) {
  if (store_.blocked().empty()) {
    return;
  }
  request.ForEach([&](const pool_suspect& key) {
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
  std::vector<pool_suspect> active;
  for (const auto& [key, block] : store_.blocked()) {
    if (IsActive(key, now)) {
      active.push_back(key);
    }
  }
  evidence learned = store_.Merge(received, now);
  for (const target_end& end : learned.ends) {
    ReportServed(end, now);
  }
  for (const blocked_suspect& block : learned.blocked) {
    if (IsActive(block.key, now)) {
      NoteBlocked(block.key, 0, now);
    }
  }
  for (const pool_suspect& key : active) {
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
  const auto report = [&](const pool_suspect& key) {
    const auto remembered = ServedOf(key.kind).Find(key);
    if (remembered && now - *remembered < kTrustTime) {
      own.served.push_back({.key = key, .age_ms = AgeMs(*remembered, now)});
    }
  };
  for (const std::uint64_t part : end.parts) {
    report({.pool = end.pool, .id = part});
  }
  for (const request_fingerprint request : end.requests) {
    report({.pool = end.pool,
            .id = request.value(),
            .kind = suspect_kind::kRequest});
  }
  news_.Append(store_.Merge(own, now));
}

void prompt_guard::Evaluate(time_point now) {
  next_evaluation_ = kNever;
  store_.Expire(now);
  std::erase_if(trials_,
                [now](const auto& trial) { return trial.second <= now; });
  // A blocked request explains ends that its rare parts would be blamed for,
  // and refuses less.
  BlockRequests(now);
  BlockParts(now);
}

void prompt_guard::BlockRequests(time_point now) {
  for (const candidate& found : FindCandidates(suspect_kind::kRequest, now)) {
    Block(found, now);
  }
}

void prompt_guard::BlockParts(time_point now) {
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

void prompt_guard::NoteBlocked(const pool_suspect& key,
                               std::size_t ends,
                               time_point now) {
  const evidence_store::block_record& block = store_.blocked().at(key);
  changes_.push_back({.key = key,
                      .blocked = true,
                      .ends = ends,
                      .times_blocked = block.times_blocked,
                      .remaining = EndOf(key, block) - now});
}

std::optional<active_block> prompt_guard::BlockedFor(
    const request_suspects& request,
    time_point now) const {
  if (store_.blocked().empty()) {
    return std::nullopt;
  }
  std::optional<active_block> longest;
  request.ForEach([&](const pool_suspect& key) {
    const auto block = store_.blocked().find(key);
    if (block == store_.blocked().end() || IsLifted(key, block->second)) {
      return;
    }
    const time_point end = EndOf(key, block->second);
    const auto trial = trials_.find(key);
    const time_point until =
        trial == trials_.end() ? end : std::max(end, trial->second);
    if (until > now && (!longest || until - now > longest->remaining)) {
      longest = {.remaining = until - now, .kind = key.kind};
    }
  });
  return longest;
}

std::optional<suspect_kind> prompt_guard::AwaitsTrial(
    const request_suspects& request,
    time_point now) const {
  std::optional<suspect_kind> kind;
  if (!store_.blocked().empty()) {
    request.ForEach([&](const pool_suspect& key) {
      if (IsHalfOpen(key, now)) {
        kind = key.kind;
      }
    });
  }
  return kind;
}

bool prompt_guard::IsTrusted(const request_suspects& request,
                             time_point now) const {
  bool trusted = true;
  for (const std::uint64_t part : request.shared_parts) {
    const pool_suspect key{.pool = request.pool, .id = part};
    const auto last = LastServed(key);
    trusted &= last && now - *last < kTrustTime && MomentsSince(key, *last) < 2;
  }
  return trusted;
}

bool prompt_guard::HasEndedSeveral(const request_suspects& request) const {
  return request.fingerprint &&
         EndsSinceServed({.pool = request.pool,
                          .id = request.fingerprint->value(),
                          .kind = suspect_kind::kRequest}) > 1;
}

std::optional<time_point> prompt_guard::LastServed(
    const pool_suspect& key) const {
  const auto& own =
      key.kind == suspect_kind::kPart ? served_parts_ : served_requests_;
  return std::max(store_.LastServed(key), own.Find(key));
}

evidence prompt_guard::TakeNews() {
  return std::exchange(news_, {});
}

evidence prompt_guard::KnownEvidence(time_point now) const {
  evidence known = store_.All(now);
  std::erase_if(known.blocked, [](const blocked_suspect& block) {
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

bool prompt_guard::IsActive(const pool_suspect& key, time_point now) const {
  const auto block = store_.blocked().find(key);
  return block != store_.blocked().end() && !IsLifted(key, block->second) &&
         EndOf(key, block->second) > now;
}

bool prompt_guard::IsHalfOpen(const pool_suspect& key, time_point now) const {
  const auto block = store_.blocked().find(key);
  return block != store_.blocked().end() && !IsLifted(key, block->second) &&
         EndOf(key, block->second) <= now;
}

bool prompt_guard::IsLifted(const pool_suspect& key,
                            const evidence_store::block_record& block) const {
  const auto served = store_.LastServed(key);
  // All blamed ends were older than the evidence age.
  return served && *served > block.at - kMinEvidenceAge;
}

time_point prompt_guard::EndOf(
    const pool_suspect& key,
    const evidence_store::block_record& block) const {
  const double place = targets::RendezvousPlace(key.id, self_.value());
  const duration time = BlockTime(key.kind, block.times_blocked);
  const bool is_short = time < kFirstBlock;
  const double spread = is_short ? kReleaseSpreadOfShort : kReleaseSpread;
  return block.at + time +
         std::chrono::duration_cast<duration>(time * (spread * place));
}

}  // namespace burdocklock::crashes
