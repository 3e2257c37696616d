// nlohmann::json conversions of the framework's types, used for CBOR encoding.
#pragma once

#include <concepts>
#include <stdexcept>
#include <string_view>

#include <nlohmann/json.hpp>

#include "framework/codec/bounded_parse.h"
#include "framework/codec/whole_number.h"
#include "framework/types/endpoint.h"
#include "framework/types/strong_type.h"

namespace burdocklock {

template <typename Tag, typename Rep>
void to_json(nlohmann::json& j, const strong_type<Tag, Rep>& id) {
  j = id.value();
}
template <typename Tag, typename Rep>
void from_json(const nlohmann::json& j, strong_type<Tag, Rep>& id) {
  if constexpr (std::integral<Rep>) {
    id = strong_type<Tag, Rep>(ReadWhole<Rep>(j));
  } else {
    id = strong_type<Tag, Rep>(j.get<Rep>());
  }
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

/// Converts a number to an enumerator; throws if it is greater than `last`.
template <typename Enum>
Enum ToEnum(const nlohmann::json& j, Enum last) {
  return static_cast<Enum>(
      ReadWhole<unsigned>(j, 0, static_cast<unsigned>(last)));
}

}  // namespace burdocklock
