// Conversions of the framework's types for nlohmann::json, which encodes CBOR.
#pragma once

#include <stdexcept>

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
