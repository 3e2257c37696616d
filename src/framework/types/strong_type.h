// Strong typedefs: ids and units of different kinds are distinct types and
// cannot be passed for one another.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace burdocklock {

/// Wraps a `Rep`; comparable only with values of the same tag.
template <typename Tag, typename Rep>
class strong_type {
 public:
  using rep = Rep;

  strong_type() = default;
  explicit strong_type(Rep value) : value_(std::move(value)) {}

  [[nodiscard]] const Rep& value() const { return value_; }

  friend bool operator==(const strong_type&, const strong_type&) = default;
  friend auto operator<=>(const strong_type&, const strong_type&) = default;

  friend std::ostream& operator<<(std::ostream& out, const strong_type& id) {
    return out << id.value_;
  }

 private:
  Rep value_{};
};

}  // namespace burdocklock

template <typename Tag, typename Rep>
struct std::hash<burdocklock::strong_type<Tag, Rep>> {
  std::size_t operator()(
      const burdocklock::strong_type<Tag, Rep>& id) const noexcept {
    return std::hash<Rep>{}(id.value());
  }
};
