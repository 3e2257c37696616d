// Weighs the evidence for each suspect part; see docs/design/004.
#include "crashes/prompt_guard.h"

#include <algorithm>
#include <chrono>

#include "targets/rendezvous.h"

namespace burdocklock::crashes {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Ends of distinct targets after which a part that no target has served
// recently is blocked.
constexpr std::size_t kMinEnds = 3;
// Two parts that explain the same ends are both blocked only after this many.
constexpr std::size_t kMinEndsOfTied = 5;
// Ends that another blocked part does not explain.
constexpr std::size_t kMinUnexplainedEnds = 2;
// A part that targets served before must end more targets, and at separate
// moments: one power loss ends any number of targets at once.
constexpr std::size_t kMinEndsOfServed = 4;
constexpr std::size_t kMinMoments = 3;
// As many, spread over a shorter time.
constexpr std::size_t kMinEndsOfSeries = 5;
// Longer than it takes to see that a target has served a prompt.
constexpr milliseconds kMomentGap{800};
// Ends closer than this may have a common cause, given the delays with which
// routers notice them.
constexpr milliseconds kCommonCauseGap{150};
// Other routers' reports of an end, of ends at the same time and of parts that
// were served must have time to arrive.
constexpr milliseconds kMinEvidenceAge{300};
// A part that was served within this time is trusted.
constexpr seconds kTrustTime{60};
constexpr std::size_t kMaxRemembered = 16'384;
constexpr seconds kFirstBlock{60};
constexpr minutes kLongestBlock{60};
// Routers end a block one after the other within this fraction of it, so that
// the first one tries alone.
constexpr double kReleaseSpread = 0.5;
// After this long in contact a router has the evidence of the others.
constexpr seconds kMinContactTime{1};
// How long the outcome of a trial is awaited.
constexpr seconds kTrialTime{15};

duration BlockTime(std::uint32_t strikes) {
  duration time = kFirstBlock;
  for (std::uint32_t i = 1; i < strikes && time < kLongestBlock; ++i) {
    time *= 2;
  }
  return std::min<duration>(time, kLongestBlock);
}

std::uint64_t AgeMs(time_point at, time_point now) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now - at).count());
}

// Number of times that follow the one counted before by `gap` or more.
std::size_t CountMoments(const std::vector<time_point>& sorted, duration gap) {
  std::size_t moments = 0;
  time_point last{};
  for (const time_point at : sorted) {
    if (at >= last + gap) {
      ++moments;
      last = at;
    }
  }
  return moments;
}

// Whether ends of targets with a part that was served before are too many, and
// too spread in time, to have another cause.
bool Recurs(const std::vector<time_point>& sorted) {
  const std::size_t moments = CountMoments(sorted, kMomentGap);
  return (moments >= kMinMoments && sorted.size() >= kMinEndsOfServed) ||
         (sorted.size() >= kMinEndsOfSeries &&
          (moments > 1 ||
           CountMoments(sorted, kCommonCauseGap) >= kMinEndsOfServed));
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
    RememberServed(key, began, now);
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
    const auto remembered = served_.find(key);
    if (remembered != served_.end() && now - remembered->second < kTrustTime) {
      own.served.push_back(
          {.key = key, .age_ms = AgeMs(remembered->second, now)});
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

std::vector<prompt_guard::candidate> prompt_guard::WorstParts(time_point now) {
  std::map<pool_part, end_list> ends_of;
  for (const auto& [key, end] : store_.ends()) {
    for (const std::uint64_t part : end.suspects) {
      const pool_part suspect{.pool = end.pool, .part = part};
      if (end.at > store_.LastServed(suspect).value_or(time_point{})) {
        ends_of[suspect].push_back(&end);
      }
    }
  }
  std::vector<candidate> worst;
  for (auto& [key, ends] : ends_of) {
    if (IsActive(key, now)) {
      continue;
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto* a, const auto* b) { return a->at < b->at; });
    const std::size_t blamed = BlamedEnds(key, ends, now);
    if (blamed == 0 || (!worst.empty() && blamed < worst.front().ends)) {
      continue;
    }
    if (!worst.empty() && blamed > worst.front().ends) {
      worst.clear();
    }
    worst.push_back({.key = key, .ends = blamed});
  }
  return worst;
}

std::size_t prompt_guard::BlamedEnds(const pool_part& key,
                                     const end_list& ends,
                                     time_point now) {
  const auto block = store_.blocked().find(key);
  const bool on_probation =
      block != store_.blocked().end() && !IsLifted(key, block->second);
  const time_point from =
      on_probation ? block->second.at + BlockTime(block->second.strikes)
                   : time_point{};
  const std::size_t needed = on_probation ? 1 : kMinEnds;
  if (ends.size() < needed) {
    return 0;
  }
  std::vector<time_point> blamed;
  std::size_t unexplained = 0;
  for (const auto* end : ends) {
    if (end->at < from || IsCommonCause(*end, key.part)) {
      continue;
    }
    if (now < end->at + kMinEvidenceAge) {
      next_evaluation_ = std::min(next_evaluation_, end->at + kMinEvidenceAge);
      continue;
    }
    blamed.push_back(end->at);
    unexplained += IsExplained(*end, key.part) ? 0 : 1;
  }
  if (blamed.size() < needed ||
      (unexplained < blamed.size() && unexplained < kMinUnexplainedEnds)) {
    return 0;
  }
  const auto served = store_.LastServed(key);
  const bool was_served = served && blamed.front() - *served < kTrustTime;
  const bool knows_others = now - in_contact_since_ >= kMinContactTime;
  return was_served && !(knows_others && Recurs(blamed)) ? 0 : blamed.size();
}

void prompt_guard::Block(const candidate& found, time_point now) {
  const auto previous = store_.blocked().find(found.key);
  const bool again = previous != store_.blocked().end() &&
                     !IsLifted(found.key, previous->second);
  const evidence own{
      .blocked = {{.key = found.key,
                   .strikes = again ? previous->second.strikes + 1 : 1}}};
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
                      .strikes = block.strikes,
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
    const auto own = served_.find(key);
    const time_point last =
        std::max(store_.LastServed(key).value_or(time_point{}),
                 own == served_.end() ? time_point{} : own->second);
    trusted &= last != time_point{} && now - last < kTrustTime &&
               MomentsSince(key, last) < 2;
  });
  return trusted;
}

std::size_t prompt_guard::MomentsSince(const pool_part& key,
                                       time_point since) const {
  std::vector<time_point> times;
  for (const auto& [id, end] : store_.ends()) {
    if (end.pool == key.pool && end.at > since &&
        end.suspects.contains(key.part)) {
      times.push_back(end.at);
    }
  }
  std::sort(times.begin(), times.end());
  return CountMoments(times, kMomentGap);
}

evidence prompt_guard::TakeNews() {
  return std::exchange(news_, {});
}

evidence prompt_guard::KnownEvidence(time_point now) const {
  evidence known = store_.All(now);
  std::erase_if(known.blocked,
                [](const blocked_part& block) { return block.strikes == 1; });
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

bool prompt_guard::IsExplained(const evidence_store::end_record& end,
                               std::uint64_t except) const {
  return std::any_of(
      end.suspects.begin(), end.suspects.end(), [&](std::uint64_t part) {
        const pool_part key{.pool = end.pool, .part = part};
        const auto block = store_.blocked().find(key);
        return part != except && block != store_.blocked().end() &&
               !IsLifted(key, block->second);
      });
}

bool prompt_guard::IsCommonCause(const evidence_store::end_record& end,
                                 std::uint64_t part) const {
  return std::any_of(
      store_.ends().begin(), store_.ends().end(), [&](const auto& entry) {
        const evidence_store::end_record& other = entry.second;
        return other.pool == end.pool && !other.suspects.contains(part) &&
               other.at < end.at + kCommonCauseGap &&
               end.at < other.at + kCommonCauseGap && !IsExplained(other, part);
      });
}

time_point prompt_guard::EndOf(
    const pool_part& key,
    const evidence_store::block_record& block) const {
  constexpr std::uint64_t kSteps = 1024;
  const double place =
      static_cast<double>(targets::RendezvousWeight(key.part, self_.value()) %
                          kSteps) /
      kSteps;
  const duration time = BlockTime(block.strikes);
  return block.at + time +
         std::chrono::duration_cast<duration>(time * (kReleaseSpread * place));
}

void prompt_guard::RememberServed(const pool_part& key,
                                  time_point began,
                                  time_point now) {
  if (served_.size() >= kMaxRemembered) {
    std::erase_if(served_, [now](const auto& entry) {
      return now - entry.second >= kTrustTime / 2;
    });
  }
  if (served_.size() < kMaxRemembered || served_.contains(key)) {
    served_[key] = began;
  }
}

}  // namespace burdocklock::crashes
