// Typed access to a TOML table that reports the first problem with file, line
// and key, and finds unknown keys.
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

/// Collects the first problem found in one file.
class problem_log {
 public:
  problem_log(std::string step, std::string file)
      : step_(std::move(step)), file_(std::move(file)) {}

  void Report(const toml::source_region& where,
              std::string_view key,
              std::string_view problem);
  [[nodiscard]] bool ok() const { return !problem_.has_value(); }
  [[nodiscard]] const error& problem() const { return *problem_; }

 private:
  std::string step_;
  std::string file_;
  std::optional<error> problem_;
};

/// A table whose keys are read one by one. Reading a key marks it as known;
/// `Finish` reports the first key that was not read.
class checked_table {
 public:
  checked_table(const toml::table& table, std::string path, problem_log& log);

  /// Required values: report a problem and return a default if absent.
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
  /// A nested table, or nullptr if absent.
  const toml::table* Table(std::string_view key);
  /// An array of tables; empty if absent.
  std::vector<const toml::table*> Tables(std::string_view key);

  void Report(std::string_view key, std::string_view problem);
  /// Reports keys that no reader asked for.
  void Finish();

  [[nodiscard]] std::string Path(std::string_view key) const;
  [[nodiscard]] problem_log& log() { return log_; }

 private:
  const toml::node* Find(std::string_view key);

  const toml::table& table_;
  std::string path_;
  problem_log& log_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace burdocklock::config
