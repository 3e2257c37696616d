// Prints JSON objects and arrays as text with aligned columns.
#include "ctl/table.h"

#include <algorithm>
#include <iomanip>
#include <string>
#include <vector>

namespace burdocklock::ctl {

namespace {

using row = std::vector<std::string>;

std::string FormatCell(const nlohmann::ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void PrintAligned(const std::vector<row>& rows, std::ostream& out) {
  std::vector<std::size_t> widths;
  for (const row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const row& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      out << std::left << std::setw(last ? 0 : static_cast<int>(widths[i]) + 2)
          << row[i];
    }
    out << '\n';
  }
}

}  // namespace

void PrintFields(const nlohmann::ordered_json& object, std::ostream& out) {
  std::vector<row> rows;
  for (const auto& [key, value] : object.items()) {
    rows.push_back({key, FormatCell(value)});
  }
  PrintAligned(rows, out);
}

void PrintRows(const nlohmann::ordered_json& array, std::ostream& out) {
  if (!array.is_array() || array.empty()) {
    out << "none\n";
    return;
  }
  std::vector<row> rows(1);
  for (const auto& [key, value] : array.front().items()) {
    rows.front().push_back(key);
  }
  for (const auto& object : array) {
    row cells;
    for (const std::string& key : rows.front()) {
      cells.push_back(object.contains(key) ? FormatCell(object[key]) : "-");
    }
    rows.push_back(std::move(cells));
  }
  PrintAligned(rows, out);
}

}  // namespace burdocklock::ctl
