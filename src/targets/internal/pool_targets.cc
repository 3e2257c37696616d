// Maintains the indexes over the targets of a pool.
#include "targets/pool_targets.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "targets/rendezvous.h"

namespace burdocklock::targets {

namespace {

constexpr std::size_t kMaxRankings = 8192;

}  // namespace

void pool_targets::Add(known_target* target) {
  all_.push_back(target);
  if (target->is_open) {
    open_.push_back(target);
  }
  rankings_.clear();
}

void pool_targets::Remove(const known_target* target) {
  std::erase(all_, target);
  std::erase(open_, target);
  holders_.Forget(target);
  rankings_.clear();
}

void pool_targets::UpdateOpen(known_target* target) {
  if (target->is_open) {
    open_.push_back(target);
  } else {
    std::erase(open_, target);
  }
}

const pool_targets::ranking& pool_targets::Ranked(std::uint64_t key) const {
  const auto found = rankings_.find(key);
  if (found != rankings_.end()) {
    return found->second;
  }
  if (rankings_.size() >= kMaxRankings) {
    rankings_.clear();
  }
  const auto highest =
      HighestOf(key, kRanked, [](const known_target&) { return true; });
  ranking ranked{};
  std::copy(highest.begin(), highest.end(), ranked.begin());
  return rankings_.emplace(key, ranked).first->second;
}

std::vector<known_target*> pool_targets::HighestOf(
    std::uint64_t key,
    std::size_t most,
    const std::function<bool(const known_target&)>& fits) const {
  std::vector<std::pair<std::uint64_t, known_target*>> weighted;
  weighted.reserve(all_.size());
  for (known_target* target : all_) {
    if (fits(*target)) {
      weighted.emplace_back(
          RendezvousWeight(key, target->announced.target.value()), target);
    }
  }
  const std::size_t count = std::min(most, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(count),
                    weighted.end(), std::greater<>());
  std::vector<known_target*> highest;
  highest.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    highest.push_back(weighted[i].second);
  }
  return highest;
}

}  // namespace burdocklock::targets
