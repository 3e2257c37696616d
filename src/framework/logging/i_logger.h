// Structured logging interface. Each record is written as one JSON line.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace burdocklock {

enum class log_level { kDebug, kInfo, kWarning, kError };

using log_value = std::
    variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

/// An event name and an ordered list of typed fields.
class log_record {
 public:
  explicit log_record(std::string_view event,
                      log_level level = log_level::kInfo)
      : event_(event), level_(level) {}

  log_record& Add(std::string_view key, std::string value) {
    fields_.emplace_back(key, std::move(value));
    return *this;
  }
  log_record& Add(std::string_view key, const char* value) {
    fields_.emplace_back(key, std::string(value));
    return *this;
  }
  log_record& Add(std::string_view key, std::vector<std::string> value) {
    fields_.emplace_back(key, std::move(value));
    return *this;
  }
  log_record& Add(std::string_view key, bool value) {
    fields_.emplace_back(key, value);
    return *this;
  }
  log_record& Add(std::string_view key, double value) {
    fields_.emplace_back(key, value);
    return *this;
  }
  template <std::integral T>
  log_record& Add(std::string_view key, T value) {
    fields_.emplace_back(key, static_cast<std::int64_t>(value));
    return *this;
  }

  [[nodiscard]] const std::string& event() const { return event_; }
  [[nodiscard]] log_level level() const { return level_; }
  [[nodiscard]] const std::vector<std::pair<std::string, log_value>>& fields()
      const {
    return fields_;
  }

 private:
  std::string event_;
  log_level level_;
  std::vector<std::pair<std::string, log_value>> fields_;
};

class i_logger {
 public:
  virtual ~i_logger() = default;

  /// Writes one record. Thread-safe; does not block on disk I/O.
  virtual void Log(const log_record& record) = 0;
};

}  // namespace burdocklock
