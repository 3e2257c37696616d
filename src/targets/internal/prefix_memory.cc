// Tracks in least-recently-used order which prompt parts a target has cached
// and which of them it has processed.
#include "targets/prefix_memory.h"

namespace burdocklock::targets {

std::uint32_t prefix_memory::CachedTokens(const prompt& prompt) const {
  std::uint32_t tokens = 0;
  for (const prompt_part& part : prompt.parts) {
    if (!index_.contains(part.id)) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

std::uint32_t prefix_memory::ProcessedTokens(const prompt& prompt) const {
  std::uint32_t tokens = 0;
  for (const prompt_part& part : prompt.parts) {
    const auto place = index_.find(part.id);
    if (place == index_.end() || !place->second->is_processed) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void prefix_memory::MarkProcessed(const std::vector<prompt_part>& parts) {
  for (const prompt_part& part : parts) {
    const auto place = index_.find(part.id);
    if (place != index_.end()) {
      place->second->is_processed = true;
    }
  }
}

void prefix_memory::RecordSent(const prompt& prompt) {
  // Touches the leading parts last, because they are shared by the most prompts
  // and should be evicted last.
  for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part) {
    Touch(*part);
  }
  while (cached_tokens_ > capacity_ && parts_.size() > 1) {
    const prompt_part& oldest = parts_.back().part;
    cached_tokens_ -= oldest.tokens;
    index_.erase(oldest.id);
    parts_.pop_back();
  }
}

void prefix_memory::Touch(const prompt_part& part) {
  const auto known = index_.find(part.id);
  bool is_processed = false;
  if (known != index_.end()) {
    is_processed = known->second->is_processed;
    cached_tokens_ -= known->second->part.tokens;
    parts_.erase(known->second);
  }
  parts_.push_front({.part = part, .is_processed = is_processed});
  index_[part.id] = parts_.begin();
  cached_tokens_ += part.tokens;
}

void prefix_memory::Clear() {
  parts_.clear();
  index_.clear();
  cached_tokens_ = 0;
}

}  // namespace burdocklock::targets
