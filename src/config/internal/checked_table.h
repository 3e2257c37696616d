// Typed access to TOML tables that reports the first error with file, line and
// key, and detects unknown keys.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "framework/types/error.h"

namespace burdocklock::config {

/// Keeps the first error found in a file and ignores later ones.
class error_recorder {
 public:
  error_recorder(std::string step, std::string file)
      : step_(std::move(step)), file_(std::move(file)) {}

  void Report(const toml::source_region& location,
              std::string_view key,
              std::string_view message);
  [[nodiscard]] bool ok() const { return !first_error_.has_value(); }
  [[nodiscard]] const error& first_error() const { return *first_error_; }

 private:
  std::string step_;
  std::string file_;
  std::optional<error> first_error_;
};

/// Tracks which keys of a table have been read; `RejectUnknownKeys` reports the
/// first one that has not.
class checked_table {
 public:
  checked_table(const toml::table& table,
                std::string path,
                error_recorder& errors);

  /// Required values: if absent, report an error and return an empty value.
  std::string RequiredString(std::string_view key);
  double RequiredNumber(std::string_view key);

  std::optional<std::string> String(std::string_view key);
  std::optional<bool> Boolean(std::string_view key);
  std::optional<double> Number(std::string_view key);
  std::optional<std::int64_t> Integer(std::string_view key,
                                      std::int64_t min,
                                      std::int64_t max);
  std::optional<toml::date_time> DateTime(std::string_view key);
  std::vector<std::string> Strings(std::string_view key);
  /// Returns a nested table, or nullptr if absent.
  const toml::table* Table(std::string_view key);
  /// Returns an array of tables; empty if absent.
  std::vector<const toml::table*> Tables(std::string_view key);

  void Report(std::string_view key, std::string_view message);
  /// Reports keys that have not been read.
  void RejectUnknownKeys();

  [[nodiscard]] std::string QualifiedKey(std::string_view key) const;
  [[nodiscard]] error_recorder& errors() { return errors_; }

 private:
  const toml::node* Find(std::string_view key);

  const toml::table& table_;
  std::string path_;
  error_recorder& errors_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace burdocklock::config
