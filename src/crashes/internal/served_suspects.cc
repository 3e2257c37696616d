// Two generations of suspects.
#include "crashes/served_suspects.h"

#include <utility>

namespace burdocklock::crashes {

void served_suspects::Remember(const pool_suspect& key, time_point began) {
  if (recent_.size() >= kGenerationSize && !recent_.contains(key)) {
    older_ = std::exchange(recent_, {});
  }
  recent_[key] = began;
}

std::optional<time_point> served_suspects::Find(const pool_suspect& key) const {
  for (const auto* generation : {&recent_, &older_}) {
    const auto found = generation->find(key);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

}  // namespace burdocklock::crashes
