// When this router last saw prompt parts served.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "crashes/types/evidence.h"
#include "framework/types/time.h"

namespace burdocklock::crashes {

/// Remembers the parts served last in two generations: a full one replaces the
/// older one, so that remembering takes constant time and bounded memory.
///
/// Invariant: at least the last kGenerationSize parts are remembered, at most
/// twice as many.
class served_parts {
 public:
  static constexpr std::size_t kGenerationSize = 8192;

  void Remember(const pool_part& key, time_point began);
  [[nodiscard]] std::optional<time_point> Find(const pool_part& key) const;
  [[nodiscard]] std::size_t size() const {
    return recent_.size() + older_.size();
  }

 private:
  std::unordered_map<pool_part, time_point> recent_;
  std::unordered_map<pool_part, time_point> older_;
};

}  // namespace burdocklock::crashes
