// Which parts of prompts a target probably keeps, from what was sent there.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "targets/types/prompt.h"

namespace burdocklock::targets {

/// Least recently used parts yield, as they do at the target.
///
/// Invariant: the tokens of all parts held are at most the capacity, unless
/// there is one part only.
class prefix_memory {
 public:
  explicit prefix_memory(std::uint64_t capacity_tokens)
      : capacity_(capacity_tokens) {}

  /// Tokens of the leading parts that are held without a gap, or will be once
  /// what was sent before is read.
  [[nodiscard]] std::uint32_t CachedTokens(const prompt& prompt) const;
  /// As above, of parts that have been read already.
  [[nodiscard]] std::uint32_t ProcessedTokens(const prompt& prompt) const;
  /// The target has been sent this prompt.
  void RecordSent(const prompt& prompt);
  /// The target has read these parts.
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
