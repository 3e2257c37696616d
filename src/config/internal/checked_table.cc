#include "config/internal/checked_table.h"

namespace burdocklock::config {

void error_recorder::Report(const toml::source_region& location,
                            std::string_view key,
                            std::string_view message) {
  if (first_error_) {
    return;
  }
  first_error_ =
      error{.code = error_code::kInvalidArgument,
            .step = step_,
            .peer = file_,
            .detail = "line " + std::to_string(location.begin.line) + ": " +
                      std::string(key) + ": " + std::string(message)};
}

checked_table::checked_table(const toml::table& table,
                             std::string path,
                             error_recorder& errors)
    : table_(table), path_(std::move(path)), errors_(errors) {}

std::string checked_table::QualifiedKey(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void checked_table::Report(std::string_view key, std::string_view message) {
  const toml::node* node = table_.get(key);
  errors_.Report(node != nullptr ? node->source() : table_.source(),
                 QualifiedKey(key), message);
}

const toml::node* checked_table::Find(std::string_view key) {
  read_keys_.emplace(key);
  return table_.get(key);
}

std::string checked_table::RequiredString(std::string_view key) {
  std::optional<std::string> value = String(key);
  if (!value) {
    Report(key, "is required");
    return {};
  }
  if (value->empty()) {
    Report(key, "must not be empty");
  }
  return *value;
}

double checked_table::RequiredNumber(std::string_view key) {
  const std::optional<double> value = Number(key);
  if (!value) {
    Report(key, "is required");
  }
  return value.value_or(0);
}

std::optional<std::string> checked_table::String(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->is_string()) {
    Report(key, "must be a string");
    return std::nullopt;
  }
  return node->as_string()->get();
}

std::optional<bool> checked_table::Boolean(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->is_boolean()) {
    Report(key, "must be true or false");
    return std::nullopt;
  }
  return node->as_boolean()->get();
}

std::optional<double> checked_table::Number(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->is_number()) {
    Report(key, "must be a number");
    return std::nullopt;
  }
  return node->value<double>();
}

std::optional<std::int64_t> checked_table::Integer(std::string_view key,
                                                   std::int64_t min,
                                                   std::int64_t max) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  if (!node->is_integer()) {
    Report(key, "must be an integer");
    return std::nullopt;
  }
  const std::int64_t value = node->as_integer()->get();
  if (value < min || value > max) {
    Report(key, "must be between " + std::to_string(min) + " and " +
                    std::to_string(max));
    return std::nullopt;
  }
  return value;
}

std::optional<toml::date_time> checked_table::DateTime(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    Report(key, "is required");
    return std::nullopt;
  }
  if (!node->is_date_time()) {
    Report(key, "must be a date and time with offset");
    return std::nullopt;
  }
  return node->as_date_time()->get();
}

std::vector<std::string> checked_table::Strings(std::string_view key) {
  std::vector<std::string> values;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return values;
  }
  if (!node->is_array()) {
    Report(key, "must be an array of strings");
    return values;
  }
  for (const toml::node& element : *node->as_array()) {
    if (!element.is_string()) {
      errors_.Report(element.source(), QualifiedKey(key),
                     "must hold strings only");
      return values;
    }
    values.push_back(element.as_string()->get());
  }
  return values;
}

const toml::table* checked_table::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return nullptr;
  }
  if (!node->is_table()) {
    Report(key, "must be a table");
    return nullptr;
  }
  return node->as_table();
}

std::vector<const toml::table*> checked_table::Tables(std::string_view key) {
  std::vector<const toml::table*> tables;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return tables;
  }
  if (!node->is_array()) {
    Report(key, "must be an array of tables");
    return tables;
  }
  for (const toml::node& element : *node->as_array()) {
    if (!element.is_table()) {
      errors_.Report(element.source(), QualifiedKey(key),
                     "must hold tables only");
      return tables;
    }
    tables.push_back(element.as_table());
  }
  return tables;
}

void checked_table::RejectUnknownKeys() {
  for (const auto& [key, node] : table_) {
    if (!read_keys_.contains(key.str())) {
      errors_.Report(key.source(), QualifiedKey(key.str()), "unknown key");
    }
  }
}

}  // namespace burdocklock::config
