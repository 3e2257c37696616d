// Looks up and inserts the blocks of a prompt; evicts the least recently used
// block when the cache is full.
#include "engine/prefix_cache.h"

#include <boost/container_hash/hash.hpp>

namespace burdocklock::engine {

std::uint32_t prefix_cache::Use(std::string_view prompt) {
  std::size_t prefix_hash = 0;
  std::size_t computed = 0;
  bool in_prefix = true;
  for (std::size_t offset = 0; offset < prompt.size(); offset += kBlockBytes) {
    const std::string_view block = prompt.substr(offset, kBlockBytes);
    // The key of a block covers all preceding blocks, so only equal prefixes
    // match.
    boost::hash_combine(prefix_hash, std::hash<std::string_view>{}(block));
    const bool cached = Insert(prefix_hash);
    in_prefix = in_prefix && cached;
    computed += in_prefix ? 0 : block.size();
  }
  return static_cast<std::uint32_t>(computed / kBytesPerToken);
}

double prefix_cache::Used() const {
  return max_blocks_ == 0 ? 0
                          : static_cast<double>(blocks_.size()) /
                                static_cast<double>(max_blocks_);
}

void prefix_cache::Clear() {
  lru_list_.clear();
  blocks_.clear();
}

bool prefix_cache::Insert(std::size_t block) {
  const auto found = blocks_.find(block);
  if (found != blocks_.end()) {
    lru_list_.splice(lru_list_.begin(), lru_list_, found->second);
    return true;
  }
  if (max_blocks_ == 0) {
    return false;
  }
  if (blocks_.size() == max_blocks_) {
    blocks_.erase(lru_list_.back());
    lru_list_.pop_back();
  }
  lru_list_.push_front(block);
  blocks_.emplace(block, lru_list_.begin());
  return false;
}

}  // namespace burdocklock::engine
