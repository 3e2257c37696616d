// Parses and formats the sheet.
#include <cmath>
#include <sstream>
#include <unordered_set>

#include "config/config_reader.h"
#include "config/internal/checked_table.h"
#include "config/internal/toml_file.h"
#include "config/key_hashing.h"

namespace burdocklock::config {

namespace {

constexpr char kReadStep[] = "read sheet";

// Parses a sheet and validates the references between its entries.
class sheet_parser {
 public:
  sheet_parser(const toml::table& root, error_recorder& errors)
      : root_table_(root, "", errors), errors_(errors) {}

  sheet Parse() {
    ParseDataCentres();
    ParseModels();
    ParseServices();
    ParseCustomers();
    root_table_.RejectUnknownKeys();
    return std::move(sheet_);
  }

 private:
  void ParseDataCentres() {
    for (const toml::table* node : root_table_.Tables("data_centres")) {
      checked_table table(*node, "data_centres", errors_);
      data_centre parsed;
      parsed.id = data_centre_id(table.RequiredString("id"));
      parsed.region = region_id(table.RequiredString("region"));
      for (const toml::table* outage : table.Tables("planned_outages")) {
        parsed.planned_outages.push_back(ParseOutage(*outage));
      }
      CheckUnique(data_centre_ids_, parsed.id.value(), table);
      regions_.insert(parsed.region.value());
      table.RejectUnknownKeys();
      sheet_.data_centres.push_back(std::move(parsed));
    }
  }

  outage_window ParseOutage(const toml::table& node) {
    checked_table table(node, "data_centres.planned_outages", errors_);
    const outage_window window{.from = ParseTime(table, "from"),
                               .to = ParseTime(table, "to")};
    if (window.to <= window.from) {
      table.Report("to", "must be later than from");
    }
    table.RejectUnknownKeys();
    return window;
  }

  static wall_time ParseTime(checked_table& table, std::string_view key) {
    const std::optional<toml::date_time> value = table.DateTime(key);
    if (!value) {
      return {};
    }
    if (!value->offset) {
      table.Report(key, "must carry an offset from UTC");
      return {};
    }
    const std::chrono::year_month_day date{
        std::chrono::year(value->date.year),
        std::chrono::month(value->date.month),
        std::chrono::day(value->date.day)};
    return std::chrono::sys_days(date) + std::chrono::hours(value->time.hour) +
           std::chrono::minutes(value->time.minute) +
           std::chrono::seconds(value->time.second) -
           std::chrono::minutes(value->offset->minutes);
  }

  void ParseModels() {
    for (const toml::table* node : root_table_.Tables("models")) {
      checked_table table(*node, "models", errors_);
      model parsed{.id = pool_id(table.RequiredString("id"))};
      CheckUnique(pool_ids_, parsed.id.value(), table);
      model_ids_.insert(parsed.id.value());
      table.RejectUnknownKeys();
      sheet_.models.push_back(std::move(parsed));
    }
  }

  void ParseServices() {
    for (const toml::table* node : root_table_.Tables("services")) {
      checked_table table(*node, "services", errors_);
      service parsed{.id = pool_id(table.RequiredString("id"))};
      parsed.non_repeatable = ParseRules(table, "non_repeatable");
      parsed.repeatable = ParseRules(table, "repeatable");
      CheckUnique(pool_ids_, parsed.id.value(), table);
      service_ids_.insert(parsed.id.value());
      table.RejectUnknownKeys();
      sheet_.services.push_back(std::move(parsed));
    }
  }

  std::vector<call_rule> ParseRules(checked_table& owner,
                                    std::string_view key) {
    std::vector<call_rule> rules;
    for (const toml::table* node : owner.Tables(key)) {
      checked_table table(*node, owner.QualifiedKey(key), errors_);
      call_rule rule{.methods = table.Strings("methods"),
                     .path_prefix = table.RequiredString("path")};
      if (rule.methods.empty()) {
        table.Report("methods", "must name at least one method");
      }
      if (!rule.path_prefix.starts_with('/')) {
        table.Report("path", "must start with /");
      }
      table.RejectUnknownKeys();
      rules.push_back(std::move(rule));
    }
    return rules;
  }

  void ParseCustomers() {
    for (const toml::table* node : root_table_.Tables("customers")) {
      checked_table table(*node, "customers", errors_);
      customer parsed;
      parsed.id = customer_id(table.RequiredString("id"));
      parsed.share = table.RequiredNumber("share");
      if (!(parsed.share > 0) || !std::isfinite(parsed.share)) {
        table.Report("share", "must be positive");
      }
      parsed.api_keys = ParseApiKeys(table);
      parsed.models = ParsePools(table, "models", model_ids_);
      parsed.services = ParsePools(table, "services", service_ids_);
      parsed.home_region = region_id(table.RequiredString("home_region"));
      if (!regions_.contains(parsed.home_region.value())) {
        table.Report("home_region", "no data centre is in that region");
      }
      if (const auto limit = table.Integer("max_queued", 1, 1'000'000)) {
        parsed.max_queued = static_cast<std::uint32_t>(*limit);
      }
      CheckUnique(customer_ids_, parsed.id.value(), table);
      table.RejectUnknownKeys();
      sheet_.customers.push_back(std::move(parsed));
    }
  }

  std::vector<key_hash> ParseApiKeys(checked_table& table) {
    std::vector<key_hash> keys;
    for (const std::string& text : table.Strings("api_keys_sha256")) {
      const std::optional<key_hash> hash = ParseKeyHash(text);
      if (!hash) {
        table.Report("api_keys_sha256",
                     "must hold SHA-256 hashes of 64 hexadecimal digits");
        break;
      }
      if (IsHashOfEmpty(*hash)) {
        table.Report("api_keys_sha256", "must not hold the hash of no key");
      }
      if (!seen_api_keys_.insert(text).second) {
        table.Report("api_keys_sha256", "key is used twice");
      }
      keys.push_back(*hash);
    }
    return keys;
  }

  static std::vector<pool_id> ParsePools(
      checked_table& table,
      std::string_view key,
      const std::unordered_set<std::string>& existing) {
    std::vector<pool_id> pools;
    for (std::string& name : table.Strings(key)) {
      if (!existing.contains(name)) {
        table.Report(key, "\"" + name + "\" is not in the sheet");
      }
      pools.emplace_back(std::move(name));
    }
    return pools;
  }

  static void CheckUnique(std::unordered_set<std::string>& seen,
                          const std::string& id,
                          checked_table& table) {
    if (!seen.insert(id).second) {
      table.Report("id", "duplicate \"" + id + "\"");
    }
  }

  checked_table root_table_;
  error_recorder& errors_;
  sheet sheet_;
  std::unordered_set<std::string> data_centre_ids_;
  std::unordered_set<std::string> regions_;
  std::unordered_set<std::string> model_ids_;
  std::unordered_set<std::string> service_ids_;
  // Models and services share one namespace, since both are pools.
  std::unordered_set<std::string> pool_ids_;
  std::unordered_set<std::string> customer_ids_;
  std::unordered_set<std::string> seen_api_keys_;
};

toml::date_time ToDateTime(wall_time time) {
  const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
  const auto day = std::chrono::floor<std::chrono::days>(seconds);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss clock(seconds - day);
  return toml::date_time(
      toml::date(static_cast<int>(date.year()),
                 static_cast<unsigned>(date.month()),
                 static_cast<unsigned>(date.day())),
      toml::time(static_cast<unsigned>(clock.hours().count()),
                 static_cast<unsigned>(clock.minutes().count()),
                 static_cast<unsigned>(clock.seconds().count())),
      toml::time_offset());
}

toml::array ToArray(const std::vector<pool_id>& pools) {
  toml::array array;
  for (const pool_id& pool : pools) {
    array.push_back(pool.value());
  }
  return array;
}

toml::array ToArray(const std::vector<call_rule>& rules) {
  toml::array array;
  for (const call_rule& rule : rules) {
    toml::array methods;
    for (const std::string& method : rule.methods) {
      methods.push_back(method);
    }
    array.push_back(toml::table{{"methods", std::move(methods)},
                                {"path", rule.path_prefix}});
  }
  return array;
}

toml::table ToTable(const customer& customer) {
  toml::array keys;
  for (const key_hash& key : customer.api_keys) {
    keys.push_back(FormatKeyHash(key));
  }
  toml::table table{{"id", customer.id.value()},
                    {"share", customer.share},
                    {"api_keys_sha256", std::move(keys)},
                    {"models", ToArray(customer.models)},
                    {"services", ToArray(customer.services)},
                    {"home_region", customer.home_region.value()}};
  if (customer.max_queued) {
    table.insert("max_queued", static_cast<std::int64_t>(*customer.max_queued));
  }
  return table;
}

toml::table ToTable(const data_centre& data_centre) {
  toml::array outages;
  for (const outage_window& window : data_centre.planned_outages) {
    outages.push_back(toml::table{{"from", ToDateTime(window.from)},
                                  {"to", ToDateTime(window.to)}});
  }
  return toml::table{{"id", data_centre.id.value()},
                     {"region", data_centre.region.value()},
                     {"planned_outages", std::move(outages)}};
}

}  // namespace

result<sheet> ParseSheet(std::string_view text, const std::string& file) {
  result<toml::table> parsed = ParseToml(text, file, kReadStep);
  if (!parsed) {
    return parsed.error();
  }
  error_recorder errors(kReadStep, file);
  sheet out = sheet_parser(parsed.value(), errors).Parse();
  if (!errors.ok()) {
    return errors.first_error();
  }
  return out;
}

result<sheet> ReadSheet(const std::string& file) {
  const result<std::string> text = ReadFile(file, kReadStep);
  if (!text) {
    return text.error();
  }
  return ParseSheet(text.value(), file);
}

std::string FormatSheet(const sheet& sheet) {
  toml::array data_centres;
  for (const data_centre& entry : sheet.data_centres) {
    data_centres.push_back(ToTable(entry));
  }
  toml::array models;
  for (const model& entry : sheet.models) {
    models.push_back(toml::table{{"id", entry.id.value()}});
  }
  toml::array services;
  for (const service& entry : sheet.services) {
    services.push_back(
        toml::table{{"id", entry.id.value()},
                    {"non_repeatable", ToArray(entry.non_repeatable)},
                    {"repeatable", ToArray(entry.repeatable)}});
  }
  toml::array customers;
  for (const customer& entry : sheet.customers) {
    customers.push_back(ToTable(entry));
  }
  const toml::table root{{"data_centres", std::move(data_centres)},
                         {"models", std::move(models)},
                         {"services", std::move(services)},
                         {"customers", std::move(customers)}};
  std::ostringstream text;
  text << root << '\n';
  return text.str();
}

}  // namespace burdocklock::config
