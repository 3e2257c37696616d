// Part of prompt_guard: which parts the ends of targets are blamed on; see
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

// Ends of distinct targets after which a part that no target has served
// recently is blocked.
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
  const bool is_half_open =
      block != store_.blocked().end() && !IsLifted(key, block->second);
  const time_point from =
      is_half_open ? block->second.at + BlockTime(block->second.times_blocked)
                   : time_point{};
  const std::size_t needed = is_half_open ? 1 : kMinEnds;
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

}  // namespace burdocklock::crashes
