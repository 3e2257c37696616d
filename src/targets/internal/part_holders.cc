// Keeps the index of cached prompt parts and removes evicted ones from it.
#include "targets/part_holders.h"

#include <algorithm>
#include <iterator>

namespace burdocklock::targets {

void part_holders::Add(std::uint64_t part, known_target* holder) {
  std::vector<known_target*>& known = holders_[part];
  if (std::find(known.begin(), known.end(), holder) == known.end()) {
    known.push_back(holder);
  }
  if (holders_.size() > max_parts_) {
    RemoveEvicted();
    max_parts_ = std::max(kInitialMaxParts, 2 * holders_.size());
  }
}

void part_holders::Forget(const known_target* holder) {
  RemoveIf([holder](std::uint64_t, const known_target* known) {
    return known == holder;
  });
}

void part_holders::RemoveEvicted() {
  RemoveIf([](std::uint64_t part, const known_target* known) {
    return !known->prefixes.Holds(part);
  });
}

template <typename Predicate>
void part_holders::RemoveIf(Predicate is_removed) {
  for (auto it = holders_.begin(); it != holders_.end();) {
    std::erase_if(it->second, [&](const known_target* known) {
      return is_removed(it->first, known);
    });
    it = it->second.empty() ? holders_.erase(it) : std::next(it);
  }
}

}  // namespace burdocklock::targets
