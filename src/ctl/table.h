// Prints JSON documents as text tables.
#pragma once

#include <ostream>

#include <nlohmann/json.hpp>

namespace burdocklock::ctl {

/// One line for each member of an object.
void PrintFields(const nlohmann::ordered_json& object, std::ostream& out);
/// One line for each object of an array, with a header line of the first
/// object's member names. Nested values are printed as compact JSON.
void PrintRows(const nlohmann::ordered_json& array, std::ostream& out);

}  // namespace burdocklock::ctl
