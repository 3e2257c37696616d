// See the header.
#include "engine/prefix_cache.h"

#include <boost/container_hash/hash.hpp>

namespace burdocklock::engine {

std::uint32_t prefix_cache::Use(std::string_view prompt) {
  std::size_t chain = 0;
  std::size_t computed = 0;
  bool in_prefix = true;
  for (std::size_t at = 0; at < prompt.size(); at += kBlockBytes) {
    const std::string_view block = prompt.substr(at, kBlockBytes);
    // A block is only equal if all blocks before it are.
    boost::hash_combine(chain, std::hash<std::string_view>{}(block));
    const bool cached = Touch(chain);
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
  recent_.clear();
  blocks_.clear();
}

bool prefix_cache::Touch(std::size_t block) {
  const auto found = blocks_.find(block);
  if (found != blocks_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    return true;
  }
  if (max_blocks_ == 0) {
    return false;
  }
  if (blocks_.size() == max_blocks_) {
    blocks_.erase(recent_.back());
    recent_.pop_back();
  }
  recent_.push_front(block);
  blocks_.emplace(block, recent_.begin());
  return false;
}

}  // namespace burdocklock::engine
