// Prints JSON documents as text tables.
#pragma once

#include <ostream>

#include <nlohmann/json.hpp>

namespace burdocklock::ctl {

/// Prints one line for each member of an object.
void PrintFields(const nlohmann::ordered_json& object, std::ostream& out);
/// Prints one line for each object of an array, below a header line with the
/// member names of the first object. Nested values are printed as compact JSON.
void PrintRows(const nlohmann::ordered_json& array, std::ostream& out);

}  // namespace burdocklock::ctl
