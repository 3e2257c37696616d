// Estimates the contents of a target's prefix cache from the prompts sent to
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "targets/types/prompt.h"

namespace burdocklock::targets {

/// Evicts the least recently used parts, as the target does.
///
/// Invariant: the parts add up to at most the capacity, unless there is only
/// one.
class prefix_memory {
 public:
  explicit prefix_memory(std::uint64_t capacity_tokens)
      : capacity_(capacity_tokens) {}

  /// Returns the tokens of the contiguous leading parts that are cached, or
  /// will be once the prompts sent earlier are processed.
  [[nodiscard]] std::uint32_t CachedTokens(const prompt& prompt) const;
  /// Returns whether the part is cached, or will be.
  [[nodiscard]] bool Holds(std::uint64_t part) const {
    return index_.contains(part);
  }
  /// As `CachedTokens`, but counts only parts that are already processed.
  [[nodiscard]] std::uint32_t ProcessedTokens(const prompt& prompt) const;
  /// Records that this prompt was sent to the target.
  void RecordSent(const prompt& prompt);
  /// Records that the target has processed these parts.
  void MarkProcessed(const std::vector<prompt_part>& parts);
  void Clear();
  [[nodiscard]] std::uint64_t capacity() const { return capacity_; }

 private:
  struct cached_part {
    prompt_part part;
    bool is_processed = false;
  };
  using lru_list = std::list<cached_part>;

  void Touch(const prompt_part& part);

  std::uint64_t capacity_;
  std::uint64_t cached_tokens_ = 0;
  /// Most recently used first.
  lru_list parts_;
  std::unordered_map<std::uint64_t, lru_list::iterator> index_;
};

}  // namespace burdocklock::targets
