// nlohmann::json conversions of the framework's types, used for CBOR encoding.
#pragma once

#include <stdexcept>
#include <string_view>

#include <nlohmann/json.hpp>

#include "framework/codec/bounded_parse.h"
#include "framework/types/endpoint.h"
#include "framework/types/strong_type.h"

namespace burdocklock {

template <typename Tag, typename Rep>
void to_json(nlohmann::json& j, const strong_type<Tag, Rep>& id) {
  j = id.value();
}
template <typename Tag, typename Rep>
void from_json(const nlohmann::json& j, strong_type<Tag, Rep>& id) {
  id = strong_type<Tag, Rep>(j.get<Rep>());
}

inline void to_json(nlohmann::json& j, const endpoint& value) {
  j = ToString(value);
}
inline void from_json(const nlohmann::json& j, endpoint& value) {
  const auto parsed = ParseEndpoint(j.get_ref<const std::string&>());
  if (!parsed) {
    throw std::invalid_argument("endpoint");
  }
  value = *parsed;
}

/// Throws if a floating-point number in `j` is outside the range accepted for
/// integers: nlohmann::json converts it to an integer without a range check.
inline void CheckFloatRange(const nlohmann::json& j) {
  constexpr double kLimit = 2147483648.0;
  if (j.is_number_float()) {
    const auto value = j.get<double>();
    if (!(value > -1 && value < kLimit)) {
      throw std::out_of_range("number");
    }
    return;
  }
  if (j.is_structured()) {
    for (const nlohmann::json& element : j) {
      CheckFloatRange(element);
    }
  }
}

/// Parses CBOR without numbers out of the range accepted for integers; throws
/// if it is malformed.
inline nlohmann::json ParseIntegers(std::string_view bytes) {
  nlohmann::json j = ParseCbor(bytes);
  CheckFloatRange(j);
  return j;
}

/// Converts a number to an enumerator; throws if it is greater than `last`.
template <typename Enum>
Enum ToEnum(const nlohmann::json& j, Enum last) {
  const auto value = j.get<unsigned>();
  if (value > static_cast<unsigned>(last)) {
    throw std::out_of_range("enumerator");
  }
  return static_cast<Enum>(value);
}

}  // namespace burdocklock
