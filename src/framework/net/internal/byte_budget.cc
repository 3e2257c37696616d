// See the header.
#include "framework/net/byte_budget.h"

#include <iterator>

namespace burdocklock::net {

bool byte_budget::Resize(byte_hold& hold, std::size_t bytes) {
  if (hold.is_given_up_) {
    return false;
  }
  const std::size_t counted = bytes > kUncountedBytes ? bytes : 0;
  while (counted > hold.bytes_ &&
         counted_ - hold.bytes_ + counted > capacity_) {
    if (!GiveUpLarger(hold, counted)) {
      ++given_up_;
      Release(hold);
      hold.is_given_up_ = true;
      return false;
    }
  }
  Release(hold);
  hold.bytes_ = counted;
  counted_ += counted;
  if (counted > 0 && !hold.is_complete_) {
    reading_.emplace(counted, &hold);
  }
  return true;
}

void byte_budget::Release(byte_hold& hold) {
  reading_.erase({hold.bytes_, &hold});
  counted_ -= hold.bytes_;
  hold.bytes_ = 0;
}

bool byte_budget::GiveUpLarger(const byte_hold& hold, std::size_t bytes) {
  auto largest = reading_.end();
  while (largest != reading_.begin()) {
    largest = std::prev(largest);
    byte_hold& other = *largest->second;
    if (&other == &hold) {
      continue;
    }
    if (other.bytes_ <= bytes) {
      return false;
    }
    ++given_up_;
    other.is_given_up_ = true;
    Release(other);
    other.give_up_();
    return true;
  }
  return false;
}

void byte_hold::Complete() {
  is_complete_ = true;
  budget_.reading_.erase({bytes_, this});
}

}  // namespace burdocklock::net
