// Conversions of the framework's types for nlohmann::json, which encodes CBOR.
#pragma once

#include <stdexcept>
#include <string_view>

#include <nlohmann/json.hpp>

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

/// Throws if some number in `j` is a fraction that no integer type here can
/// hold: readers of integers would convert it without a check.
inline void CheckFractions(const nlohmann::json& j) {
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
      CheckFractions(element);
    }
  }
}

/// Reads CBOR; throws if it is malformed.
inline nlohmann::json ParseCbor(std::string_view bytes) {
  nlohmann::json j = nlohmann::json::from_cbor(bytes);
  CheckFractions(j);
  return j;
}

/// Reads an enumerator; throws if it is not one.
template <typename Enum>
Enum ToEnum(const nlohmann::json& j, Enum last) {
  const auto value = j.get<unsigned>();
  if (value > static_cast<unsigned>(last)) {
    throw std::out_of_range("enumerator");
  }
  return static_cast<Enum>(value);
}

}  // namespace burdocklock
