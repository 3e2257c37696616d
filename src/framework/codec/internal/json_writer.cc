// See the header.
#include "framework/codec/json_writer.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <nlohmann/json.hpp>

#include "framework/codec/format_text.h"

namespace burdocklock {

namespace {

bool IsPlain(char c) {
  return c >= ' ' && c <= '~' && c != '"' && c != '\\';
}

}  // namespace

void AppendJsonString(std::string_view text, std::string& out) {
  if (!std::all_of(text.begin(), text.end(), IsPlain)) {
    out += FormatText(nlohmann::json(text));
    return;
  }
  out += '"';
  out += text;
  out += '"';
}

void json_object_writer::AddName(std::string_view name) {
  if (text_.size() > 1) {
    text_ += ',';
  }
  AppendJsonString(name, text_);
  text_ += ':';
}

void json_object_writer::Add(std::string_view name, double value) {
  AddName(name);
  if (!std::isfinite(value)) {
    text_ += "null";
    return;
  }
  std::array<char, 32> digits;
  const auto written =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  const std::string_view number(digits.data(), written.ptr - digits.data());
  text_ += number;
  if (number.find_first_of(".e") == std::string_view::npos) {
    text_ += ".0";
  }
}

void json_object_writer::Add(std::string_view name,
                             const std::vector<std::string>& values) {
  AddName(name);
  text_ += '[';
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (i > 0) {
      text_ += ',';
    }
    AppendJsonString(values[i], text_);
  }
  text_ += ']';
}

}  // namespace burdocklock
