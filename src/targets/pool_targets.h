// The targets of one pool, indexed so that a decision need not look at all of
// them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "targets/known_target.h"
#include "targets/part_holders.h"

namespace burdocklock::targets {

/// Invariant: `open` holds the targets of `all` with `is_open` set.
class pool_targets {
 public:
  /// The targets with the highest rendezvous weights for a key come first;
  /// nullptr from the end of a smaller pool on.
  static constexpr std::size_t kRanked = 8;
  using ranking = std::array<known_target*, kRanked>;

  void Add(known_target* target);
  void Remove(const known_target* target);
  /// Lists the target as open or not, as its `is_open` says.
  void UpdateOpen(known_target* target);

  [[nodiscard]] const std::vector<known_target*>& all() const { return all_; }
  /// Targets of which not all slots are in use.
  [[nodiscard]] const std::vector<known_target*>& open() const { return open_; }
  /// Ranks the targets for the key, usable or not.
  [[nodiscard]] const ranking& Ranked(std::uint64_t key) const;
  /// As above for up to `most` targets that satisfy `fits`, ranking all of them
  /// anew.
  [[nodiscard]] std::vector<known_target*> HighestOf(
      std::uint64_t key,
      std::size_t most,
      const std::function<bool(const known_target&)>& fits) const;
  [[nodiscard]] part_holders& holders() { return holders_; }

 private:
  std::vector<known_target*> all_;
  std::vector<known_target*> open_;
  part_holders holders_;
  /// Rankings that were asked for since the last change of the targets.
  mutable std::unordered_map<std::uint64_t, ranking> rankings_;
};

}  // namespace burdocklock::targets
