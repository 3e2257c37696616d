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

std::uint32_t prefix_memory::HeldAndRead(const prompt& prompt) const {
  std::uint32_t tokens = 0;
  for (const prompt_part& part : prompt.parts) {
    const auto place = places_.find(part.id);
    if (place == places_.end() || !place->second->is_read) {
      break;
    }
    tokens += part.tokens;
  }
  return tokens;
}

void prefix_memory::NoteRead(const std::vector<prompt_part>& parts) {
  for (const prompt_part& part : parts) {
    const auto place = places_.find(part.id);
    if (place != places_.end()) {
      place->second->is_read = true;
    }
  }
}

void prefix_memory::Note(const prompt& prompt) {
  // The first parts last, as they are shared by most.
  for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part) {
    Touch(*part);
  }
  while (held_tokens_ > capacity_ && parts_.size() > 1) {
    const prompt_part& oldest = parts_.back().part;
    held_tokens_ -= oldest.tokens;
    places_.erase(oldest.id);
    parts_.pop_back();
  }
}

void prefix_memory::Touch(const prompt_part& part) {
  const auto known = places_.find(part.id);
  bool is_read = false;
  if (known != places_.end()) {
    is_read = known->second->is_read;
    held_tokens_ -= known->second->part.tokens;
    parts_.erase(known->second);
  }
  parts_.push_front({.part = part, .is_read = is_read});
  places_[part.id] = parts_.begin();
  held_tokens_ += part.tokens;
}

void prefix_memory::Clear() {
  parts_.clear();
  places_.clear();
  held_tokens_ = 0;
}

}  // namespace burdocklock::targets
