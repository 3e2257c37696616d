// Prefix cache of a stand-in engine: remembers prompt blocks in limited memory
// and forgets the least recently used.
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

  /// Number of tokens of `prompt` that must be computed; its blocks are in the
  /// cache afterwards.
  std::uint32_t Use(std::string_view prompt);
  /// Share of the memory in use.
  [[nodiscard]] double Used() const;
  void Clear();

 private:
  bool Touch(std::size_t block);

  std::size_t max_blocks_;
  std::list<std::size_t> recent_;
  std::unordered_map<std::size_t, std::list<std::size_t>::iterator> blocks_;
};

}  // namespace burdocklock::engine
