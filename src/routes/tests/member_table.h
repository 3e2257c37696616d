// Checks what each member of a configuration document means if it is absent,
// null, empty or zero, or of another kind.
#pragma once

#include <regex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "routes/configuration_checks.h"
#include "routes/i_configuration_reader.h"

namespace burdocklock::routes {

using nlohmann::json;

enum class if_empty { kRead, kRefused };

struct member_case {
  /// Of the member in the whole document.
  std::string path;
  /// The value that an absent member is read as; refused if discarded.
  json absent;
  /// Whether "", [], {}, false or 0 is read.
  if_empty empty = if_empty::kRead;
};

/// For `absent`.
inline json Refused() {
  json refused(json::value_t::discarded);
  return refused;
}

inline result<configuration> Admit(const i_configuration_reader& reader,
                                   const json& document) {
  auto read = reader.Read(document.dump());
  if (read) {
    if (auto checked = CheckNew(read.value()); !checked) {
      return checked.error();
    }
  }
  return read;
}

inline json EmptyOf(const json& value) {
  switch (value.type()) {
    case json::value_t::string:
      return "";
    case json::value_t::array:
      return json::array();
    case json::value_t::object:
      return json::object();
    case json::value_t::boolean:
      return false;
    default:
      return 0;
  }
}

/// Null, and a value of each kind but that of `value`.
inline std::vector<json> OtherKinds(const json& value) {
  std::vector<json> others;
  for (const json& other :
       {json(), json(true), json(1), json("1"), json::array({1}), json::array(),
        json{{"a", 1}}, json::object()}) {
    const bool same = other.type() == value.type() ||
                      (other.is_number() && value.is_number());
    if (!same) {
      others.push_back(other);
    }
  }
  return others;
}

inline json Without(json document, const std::string& path) {
  const json::json_pointer member(path);
  json& parent = document[member.parent_pointer()];
  if (parent.is_array()) {
    parent.erase(std::stoul(member.back()));
  } else {
    parent.erase(member.back());
  }
  return document;
}

inline json With(json document, const std::string& path, const json& value) {
  document[json::json_pointer(path)] = value;
  return document;
}

inline void CheckMember(const i_configuration_reader& reader,
                        const json& whole,
                        const member_case& tested) {
  CAPTURE(tested.path);
  const json& value = whole.at(json::json_pointer(tested.path));
  const auto absent = Admit(reader, Without(whole, tested.path));
  if (json::json_pointer(tested.path).back() == "0") {
    // An element of a list; without it the list is shorter.
    CHECK(absent.has_value());
  } else if (tested.absent.is_discarded()) {
    CHECK_FALSE(absent.has_value());
  } else {
    REQUIRE(absent.has_value());
    const auto same = Admit(reader, With(whole, tested.path, tested.absent));
    if (same) {
      CHECK(absent.value() == same.value());
    } else {
      // Only an absent member can have no value.
      CHECK((tested.absent == EmptyOf(value) &&
             tested.empty == if_empty::kRefused));
    }
  }
  CHECK(Admit(reader, With(whole, tested.path, EmptyOf(value))).has_value() ==
        (tested.empty == if_empty::kRead));
  for (const json& other : OtherKinds(value)) {
    CAPTURE(other);
    CHECK_FALSE(Admit(reader, With(whole, tested.path, other)).has_value());
  }
}

/// Names a member whatever its place in a list.
inline std::string PatternOf(const std::string& path) {
  static const std::regex kIndex("/[0-9]+");
  return std::regex_replace(path, kIndex, "/0");
}

inline void CollectMembers(const json& value,
                           const std::string& path,
                           std::set<std::string>& out) {
  if (!path.empty() && !value.is_object()) {
    out.insert(PatternOf(path));
  }
  if (value.is_object()) {
    for (const auto& [key, member] : value.items()) {
      out.insert(PatternOf(path + "/" + key));
      CollectMembers(member, path + "/" + key, out);
    }
  } else if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) {
      CollectMembers(value[i], path + "/" + std::to_string(i), out);
    }
  }
}

/// Checks each case, and that no member of the document is without one, but
/// for `apart`.
inline void CheckMembers(const i_configuration_reader& reader,
                         const json& whole,
                         const std::vector<member_case>& cases,
                         const std::string& apart) {
  REQUIRE(Admit(reader, whole).has_value());
  std::set<std::string> expected;
  CollectMembers(whole, "", expected);
  expected.erase(apart);
  std::set<std::string> covered;
  for (const member_case& tested : cases) {
    covered.insert(PatternOf(tested.path));
    CheckMember(reader, whole, tested);
  }
  CHECK(covered == expected);
}

/// Checks that the document is open without its list of customers, closed with
/// an empty one, and refused with any other kind of value there.
inline void CheckAccess(const i_configuration_reader& reader,
                        const json& whole,
                        const std::string& path) {
  const auto open = Admit(reader, Without(whole, path));
  REQUIRE(open.has_value());
  CHECK(open.value().access == caller_access(open_access{}));
  const auto closed = Admit(reader, With(whole, path, json::array()));
  REQUIRE(closed.has_value());
  CHECK(closed.value().access == caller_access(keyed_access{}));
  for (const json& odd : OtherKinds(json::array())) {
    CAPTURE(odd);
    CHECK_FALSE(Admit(reader, With(whole, path, odd)).has_value());
  }
}

}  // namespace burdocklock::routes
