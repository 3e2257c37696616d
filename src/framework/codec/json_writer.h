// Writes flat JSON objects straight into a string, for what is written often:
// log lines and refusals. A document in memory would cost several times as
// much.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdocklock {

/// Appends the text as a JSON string. Bytes that are no UTF-8 are replaced.
void AppendJsonString(std::string_view text, std::string& out);

/// One object without nested ones; members are written in the order in which
/// they are added. A name must not be added twice.
class json_object_writer {
 public:
  json_object_writer() : text_("{") {}

  void Add(std::string_view name, std::string_view value) {
    AddName(name);
    AppendJsonString(value, text_);
  }
  void Add(std::string_view name, const char* value) {
    Add(name, std::string_view(value));
  }
  void Add(std::string_view name, bool value) {
    AddName(name);
    text_ += value ? "true" : "false";
  }
  /// A number without an integral part keeps its point; null if it is not
  /// finite.
  void Add(std::string_view name, double value);
  template <std::integral T>
  void Add(std::string_view name, T value) {
    AddName(name);
    text_ += std::to_string(value);
  }
  void Add(std::string_view name, const std::vector<std::string>& values);

  /// Ends the object and returns it; the writer must not be used any more.
  std::string Take() {
    text_ += '}';
    return std::move(text_);
  }

 private:
  void AddName(std::string_view name);

  std::string text_;
};

}  // namespace burdocklock
