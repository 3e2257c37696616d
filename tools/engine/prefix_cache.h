// Prefix cache of a simulated engine: holds a limited number of prompt blocks
// and evicts the least recently used.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace burdocklock::engine {

class prefix_cache {
 public:
  static constexpr std::size_t kBlockBytes = 256;
  static constexpr std::size_t kBytesPerToken = 4;

  explicit prefix_cache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

  /// Returns the number of tokens of `prompt` that are not cached, and inserts
  /// its blocks.
  std::uint32_t Use(std::string_view prompt);
  /// Fraction of the capacity in use.
  [[nodiscard]] double Used() const;
  void Clear();

 private:
  /// Marks a block as most recently used and returns whether it was present.
  bool Insert(std::size_t block);

  std::size_t max_blocks_;
  std::list<std::size_t> lru_list_;
  std::unordered_map<std::size_t, std::list<std::size_t>::iterator> blocks_;
};

}  // namespace burdocklock::engine
