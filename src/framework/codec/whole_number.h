// Checked conversion of JSON numbers, which nlohmann::json converts without a
// range check.
#pragma once

#include <cmath>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace burdocklock {

/// Returns a whole number of `min` to `max`. Throws std::exception if `j` is no
/// number, has a fraction or is out of range.
template <std::integral T>
T ReadWhole(const nlohmann::json& j,
            T min = std::numeric_limits<T>::min(),
            T max = std::numeric_limits<T>::max()) {
  // Doubles beyond it do not hold all whole numbers.
  constexpr double kLastExact = 9007199254740992.0;
  const auto check = [min, max](auto value) {
    if (std::cmp_less(value, min) || std::cmp_greater(value, max)) {
      throw std::out_of_range("whole number out of range");
    }
    return static_cast<T>(value);
  };
  if (j.is_number_unsigned()) {
    return check(j.get<std::uint64_t>());
  }
  if (j.is_number_integer()) {
    return check(j.get<std::int64_t>());
  }
  if (!j.is_number_float()) {
    throw std::invalid_argument("not a number");
  }
  const auto value = j.get<double>();
  if (!(std::abs(value) <= kLastExact) || value != std::trunc(value)) {
    throw std::out_of_range("not a whole number");
  }
  return check(static_cast<std::int64_t>(value));
}

/// Returns a number of `min` to `max`. Throws std::exception if `j` is no
/// number or is out of range.
inline double ReadNumber(const nlohmann::json& j, double min, double max) {
  if (!j.is_number()) {
    throw std::invalid_argument("not a number");
  }
  const auto value = j.get<double>();
  // Also false for what is not a number.
  if (!(value >= min && value <= max)) {
    throw std::out_of_range("number out of range");
  }
  return value;
}

/// Reads an element of an array; throws std::exception if it is absent, of
/// another type or out of range.
template <typename T>
void ReadElement(const nlohmann::json& j, std::size_t index, T& value) {
  if constexpr (std::integral<T> && !std::same_as<T, bool>) {
    value = ReadWhole<T>(j.at(index));
  } else {
    j.at(index).get_to(value);
  }
}

}  // namespace burdocklock
