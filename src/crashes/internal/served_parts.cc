// Two generations of prompt parts.
#include "crashes/served_parts.h"

#include <utility>

namespace burdocklock::crashes {

void served_parts::Remember(const pool_part& key, time_point began) {
  if (recent_.size() >= kGenerationSize && !recent_.contains(key)) {
    older_ = std::exchange(recent_, {});
  }
  recent_[key] = began;
}

std::optional<time_point> served_parts::Find(const pool_part& key) const {
  for (const auto* generation : {&recent_, &older_}) {
    const auto found = generation->find(key);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

}  // namespace burdocklock::crashes
