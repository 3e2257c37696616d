// See the header.
#include "targets/prefix_memory.h"

namespace burdocklock::targets {

std::uint32_t prefix_memory::Held(const prompt& prompt) const {
  std::uint32_t tokens = 0;
  for (const prompt_part& part : prompt.parts) {
    if (!places_.contains(part.id)) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void prefix_memory::Note(const prompt& prompt) {
  // The first parts last, as they are shared by most.
  for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part) {
    Touch(*part);
  }
  while (held_tokens_ > capacity_ && parts_.size() > 1) {
    held_tokens_ -= parts_.back().tokens;
    places_.erase(parts_.back().id);
    parts_.pop_back();
  }
}

void prefix_memory::Touch(const prompt_part& part) {
  const auto known = places_.find(part.id);
  if (known != places_.end()) {
    held_tokens_ -= known->second->tokens;
    parts_.erase(known->second);
  }
  parts_.push_front(part);
  places_[part.id] = parts_.begin();
  held_tokens_ += part.tokens;
}

void prefix_memory::Clear() {
  parts_.clear();
  places_.clear();
  held_tokens_ = 0;
}

}  // namespace burdocklock::targets
