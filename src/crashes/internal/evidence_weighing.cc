// Part of prompt_guard: what the ends of targets are blamed on; see
// docs/design/004.
#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

#include "crashes/internal/block_terms.h"
#include "crashes/prompt_guard.h"

namespace burdocklock::crashes {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Ends of distinct targets after which a request, or a part that no target has
// served recently, is blocked.
constexpr std::size_t kMinEnds = 3;
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
// After this long in contact a router has the evidence of the others.
constexpr seconds kMinContactTime{1};

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

}  // namespace

std::vector<prompt_guard::candidate> prompt_guard::FindCandidates(
    suspect_kind kind,
    time_point now) {
  std::map<pool_suspect, end_list> ends_of;
  for (const auto& [key, end] : store_.ends()) {
    for (const std::uint64_t id : end.Suspects(kind)) {
      const pool_suspect suspect{.pool = end.pool, .id = id, .kind = kind};
      if (end.at > store_.LastServed(suspect).value_or(time_point{})) {
        ends_of[suspect].push_back(&end);
      }
    }
  }
  std::vector<candidate> found;
  for (auto& [key, ends] : ends_of) {
    if (IsActive(key, now)) {
      continue;
    }
    std::sort(ends.begin(), ends.end(),
              [](const auto* a, const auto* b) { return a->at < b->at; });
    const std::size_t blamed = BlamedEnds(key, ends, now);
    if (blamed > 0) {
      found.push_back({.key = key, .ends = blamed});
    }
  }
  return found;
}

std::vector<prompt_guard::candidate> prompt_guard::WorstParts(time_point now) {
  std::vector<candidate> worst = FindCandidates(suspect_kind::kPart, now);
  std::size_t most = 0;
  for (const candidate& found : worst) {
    most = std::max(most, found.ends);
  }
  std::erase_if(worst,
                [most](const candidate& found) { return found.ends < most; });
  return worst;
}

std::size_t prompt_guard::BlamedEnds(const pool_suspect& key,
                                     const end_list& ends,
                                     time_point now) {
  const bool is_half_open = IsHalfOpen(key, now);
  const auto block = store_.blocked().find(key);
  const time_point from =
      is_half_open
          ? block->second.at + BlockTime(key.kind, block->second.times_blocked)
          : time_point{};
  const std::size_t needed = is_half_open ? 1 : kMinEnds;
  if (ends.size() < needed) {
    return 0;
  }
  // The trial of a request ran alone.
  const bool is_trial = is_half_open && key.kind == suspect_kind::kRequest;
  std::vector<time_point> blamed;
  std::size_t unexplained = 0;
  for (const auto* end : ends) {
    if (end->at < from || (!is_trial && IsCommonCause(*end, key, now))) {
      continue;
    }
    if (!is_trial && now < end->at + kMinEvidenceAge) {
      next_evaluation_ = std::min(next_evaluation_, end->at + kMinEvidenceAge);
      continue;
    }
    blamed.push_back(end->at);
    unexplained += IsExplained(*end, key, now) ? 0 : 1;
  }
  if (blamed.size() < needed ||
      (unexplained < blamed.size() && unexplained < kMinUnexplainedEnds)) {
    return 0;
  }
  const auto served = store_.LastServed(key);
  if (!served || blamed.front() - *served >= kTrustTime) {
    return blamed.size();
  }
  const bool knows_others = now - in_contact_since_ >= kMinContactTime;
  const bool suffices = key.kind == suspect_kind::kRequest || Recurs(blamed);
  return knows_others && suffices ? blamed.size() : 0;
}

std::size_t prompt_guard::EndsSinceServed(const pool_suspect& key) const {
  const time_point served = store_.LastServed(key).value_or(time_point{});
  return static_cast<std::size_t>(std::count_if(
      store_.ends().begin(), store_.ends().end(), [&](const auto& entry) {
        return entry.second.at > served && entry.second.Contains(key);
      }));
}

std::size_t prompt_guard::MomentsSince(const pool_suspect& key,
                                       time_point since) const {
  std::vector<time_point> times;
  for (const auto& [id, end] : store_.ends()) {
    if (end.at > since && end.Contains(key)) {
      times.push_back(end.at);
    }
  }
  std::sort(times.begin(), times.end());
  return CountMoments(times, kMomentGap);
}

bool prompt_guard::IsExplained(const evidence_store::end_record& end,
                               const pool_suspect& except,
                               time_point now) const {
  // Requests are blocked on few ends and for a short time: against another
  // request, which may be the one to blame, that is no excuse.
  const auto explains = [&](const pool_suspect& key) {
    const auto block = store_.blocked().find(key);
    return key != except && block != store_.blocked().end() &&
           !IsLifted(key, block->second) &&
           (except.kind == suspect_kind::kPart || IsActive(key, now));
  };
  const auto any = [&](suspect_kind kind) {
    const auto& ids = end.Suspects(kind);
    return std::any_of(ids.begin(), ids.end(), [&](std::uint64_t id) {
      return explains({.pool = end.pool, .id = id, .kind = kind});
    });
  };
  return any(suspect_kind::kPart) ||
         (except.kind == suspect_kind::kPart && !IsHalfOpen(except, now) &&
          any(suspect_kind::kRequest));
}

bool prompt_guard::IsCommonCause(const evidence_store::end_record& end,
                                 const pool_suspect& key,
                                 time_point now) const {
  std::size_t with = 0;
  std::size_t without = 0;
  for (const auto& [id, other] : store_.ends()) {
    if (other.pool != end.pool || other.at >= end.at + kCommonCauseGap ||
        end.at >= other.at + kCommonCauseGap) {
      continue;
    }
    if (other.Contains(key)) {
      ++with;
    } else if (!IsExplained(other, key, now)) {
      ++without;
    }
  }
  // Of the few targets of a service one may end beside; a cause that they
  // share ends most of them without the request.
  return key.kind == suspect_kind::kPart ? without > 0 : without >= with;
}

}  // namespace burdocklock::crashes
