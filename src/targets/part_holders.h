// Index of the targets that have prompt parts cached, so that they are found
// without asking each target of a pool.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "targets/known_target.h"

namespace burdocklock::targets {

/// May name targets that have evicted the part since; `Visit` checks it.
///
/// Invariant: names no target after `Forget` was called for it.
class part_holders {
 public:
  void Add(std::uint64_t part, known_target* holder);
  void Forget(const known_target* holder);
  /// Calls `visit` for up to `most` targets that have the part cached.
  template <typename Visitor>
  void Visit(std::uint64_t part, std::size_t most, Visitor visit) {
    const auto found = holders_.find(part);
    if (found == holders_.end()) {
      return;
    }
    std::vector<known_target*>& known = found->second;
    for (std::size_t i = 0; i < known.size() && most > 0;) {
      if (!known[i]->prefixes.Holds(part)) {
        known[i] = known.back();
        known.pop_back();
        continue;
      }
      visit(*known[i]);
      ++i;
      --most;
    }
    if (known.empty()) {
      holders_.erase(found);
    }
  }
  [[nodiscard]] std::size_t size() const { return holders_.size(); }

 private:
  static constexpr std::size_t kInitialMaxParts = 8192;

  void RemoveEvicted();
  template <typename Predicate>
  void RemoveIf(Predicate is_removed);

  std::unordered_map<std::uint64_t, std::vector<known_target*>> holders_;
  /// Evicted parts are removed when there are more parts than this.
  std::size_t max_parts_ = kInitialMaxParts;
};

}  // namespace burdocklock::targets
