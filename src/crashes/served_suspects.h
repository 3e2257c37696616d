// When this router last saw suspects of one kind served.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "crashes/types/evidence.h"
#include "framework/types/time.h"

namespace burdocklock::crashes {

/// Remembers those served last in two generations: a full one replaces the
/// older one, so that remembering takes constant time and bounded memory.
///
/// Invariant: at least the last kGenerationSize are remembered, at most
/// twice as many.
class served_suspects {
 public:
  static constexpr std::size_t kGenerationSize = 8192;

  void Remember(const pool_suspect& key, time_point began);
  [[nodiscard]] std::optional<time_point> Find(const pool_suspect& key) const;
  [[nodiscard]] std::size_t size() const {
    return recent_.size() + older_.size();
  }

 private:
  std::unordered_map<pool_suspect, time_point> recent_;
  std::unordered_map<pool_suspect, time_point> older_;
};

}  // namespace burdocklock::crashes
