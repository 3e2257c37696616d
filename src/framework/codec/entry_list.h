// Reads lists whose entries are independent of one another.
#pragma once

#include <cstddef>
#include <exception>
#include <stdexcept>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace burdocklock {

/// Entries that were left out of the lists of a message.
struct dropped_entries {
  std::size_t count = 0;
  /// What is wrong with the first of them.
  std::string problem;

  void Add(const char* what) {
    if (++count == 1) {
      problem = what;
    }
  }
};

/// Appends the entries of a list. Leaves out those whose conversion throws, so
/// that one of them does not cost the others. Throws std::exception if `list`
/// is no list.
template <typename Entry>
void ReadEntries(const nlohmann::json& list,
                 std::vector<Entry>& entries,
                 dropped_entries& dropped) {
  if (!list.is_array()) {
    throw std::invalid_argument("not a list");
  }
  entries.reserve(entries.size() + list.size());
  for (const nlohmann::json& element : list) {
    try {
      entries.push_back(element.get<Entry>());
    } catch (const std::exception& problem) {
      dropped.Add(problem.what());
    }
  }
}

}  // namespace burdocklock
