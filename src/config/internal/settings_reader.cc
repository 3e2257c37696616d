// Parses the settings of a daemon.
#include <filesystem>

#include "config/config_reader.h"
#include "config/internal/checked_table.h"
#include "config/internal/toml_file.h"
#include "config/key_hashing.h"

namespace burdocklock::config {

namespace {

constexpr char kReadStep[] = "read settings";
constexpr double kMillisecondsPerSecond = 1000;
constexpr std::int64_t kMaxMilliseconds = 24LL * 3600 * 1000;

void ReadEndpoint(checked_table& table, std::string_view key, endpoint& out) {
  const std::optional<std::string> text = table.String(key);
  if (!text) {
    return;
  }
  const std::optional<endpoint> parsed = ParseEndpoint(*text);
  if (!parsed) {
    table.Report(key, "must be \"address:port\" with an IP address");
    return;
  }
  out = *parsed;
}

void ReadMilliseconds(checked_table& table,
                      std::string_view key,
                      std::int64_t min,
                      std::chrono::milliseconds& out) {
  if (const auto value = table.Integer(key, min, kMaxMilliseconds)) {
    out = std::chrono::milliseconds(*value);
  }
}

void ReadCount(checked_table& table,
               std::string_view key,
               std::int64_t min,
               std::int64_t max,
               std::uint32_t& out) {
  if (const auto value = table.Integer(key, min, max)) {
    out = static_cast<std::uint32_t>(*value);
  }
}

std::vector<key_hash> ReadKeyHashes(checked_table& table,
                                    std::string_view key) {
  std::vector<key_hash> hashes;
  for (const std::string& text : table.Strings(key)) {
    const std::optional<key_hash> hash = ParseKeyHash(text);
    if (!hash) {
      table.Report(key, "must hold SHA-256 hashes of 64 hexadecimal digits");
      break;
    }
    if (IsHashOfEmpty(*hash)) {
      table.Report(key, "must not hold the hash of no token");
    }
    hashes.push_back(*hash);
  }
  return hashes;
}

void ReadRoles(checked_table& root, settings& out) {
  const std::vector<std::string> names = root.Strings("roles");
  if (names.empty()) {
    return;
  }
  out.roles.clear();
  for (const std::string& name : names) {
    if (name == "router") {
      out.roles.push_back(role::kRouter);
    } else if (name == "control") {
      out.roles.push_back(role::kControl);
    } else {
      root.Report("roles", "must hold \"router\" or \"control\"");
    }
  }
}

void ReadPeers(checked_table& root, settings& out) {
  for (const std::string& text : root.Strings("peers")) {
    const std::optional<endpoint> peer = ParseEndpoint(text);
    if (!peer) {
      root.Report("peers", "must hold \"address:port\" strings");
      return;
    }
    out.peers.push_back(*peer);
  }
}

void ReadInterface(checked_table& root, settings& out) {
  const std::string name = root.String("interface").value_or("openai");
  if (name == "routes") {
    out.interface = caller_interface::kRoutes;
  } else if (name == "platform") {
    out.interface = caller_interface::kPlatform;
  } else if (name != "openai") {
    root.Report("interface", "must be \"openai\", \"routes\" or \"platform\"");
  }
}

void ReadControl(checked_table& root, settings& out) {
  const toml::table* node = root.Table("control");
  if (node == nullptr) {
    return;
  }
  checked_table table(*node, "control", root.errors());
  control_settings& control = out.control;
  for (const std::string& text : table.Strings("hosts")) {
    const std::optional<endpoint> host = ParseEndpoint(text);
    if (!host) {
      table.Report("hosts", "must hold \"address:port\" strings");
      break;
    }
    control.hosts.push_back(*host);
  }
  if (const auto port = table.Integer("link_port", 0, 65535)) {
    control.link_port = static_cast<std::uint16_t>(*port);
  }
  if (control.link_port != 0) {
    for (endpoint& host : control.hosts) {
      host.port = control.link_port;
    }
  }
  control.first_start = table.Boolean("first_start").value_or(false);
  ReadCount(table, "tolerated_disk_losses", 0, 10,
            control.tolerated_disk_losses);
  for (const std::string& name : table.Strings("data_centres")) {
    control.data_centres.emplace_back(name);
  }
  table.RejectUnknownKeys();
}

void ReadListen(checked_table& root, settings& out) {
  const toml::table* node = root.Table("listen");
  if (node == nullptr) {
    return;
  }
  checked_table table(*node, "listen", root.errors());
  ReadEndpoint(table, "callers", out.callers);
  ReadEndpoint(table, "operators", out.operators);
  ReadEndpoint(table, "peers", out.peer_listener);
  ReadEndpoint(table, "readiness", out.readiness);
  ReadEndpoint(table, "commands", out.commands);
  table.RejectUnknownKeys();
}

void ReadTokens(checked_table& root, settings& out) {
  const toml::table* node = root.Table("tokens");
  if (node == nullptr) {
    return;
  }
  checked_table table(*node, "tokens", root.errors());
  out.target_tokens = ReadKeyHashes(table, "targets_sha256");
  out.operator_tokens = ReadKeyHashes(table, "operators_sha256");
  table.RejectUnknownKeys();
}

void ReadLog(checked_table& root, settings& out) {
  const toml::table* node = root.Table("log");
  if (node == nullptr) {
    return;
  }
  checked_table table(*node, "log", root.errors());
  out.log.path = table.String("path").value_or("");
  const std::string level = table.String("level").value_or("info");
  if (level == "debug") {
    out.log.level = log_level::kDebug;
  } else if (level == "info") {
    out.log.level = log_level::kInfo;
  } else if (level == "warning") {
    out.log.level = log_level::kWarning;
  } else if (level == "error") {
    out.log.level = log_level::kError;
  } else {
    table.Report("level", "must be debug, info, warning or error");
  }
  table.RejectUnknownKeys();
}

void ReadLimits(checked_table& root, settings& out) {
  const toml::table* node = root.Table("limits");
  if (node == nullptr) {
    return;
  }
  constexpr std::int64_t kMaxBytes = 1LL << 30;
  checked_table table(*node, "limits", root.errors());
  limit_settings& limits = out.limits;
  ReadCount(table, "traffic_threads", 1, 64, limits.traffic_threads);
  limits.share_control_thread =
      table.Boolean("share_control_thread").value_or(false);
  ReadCount(table, "max_connections", 1, 1'000'000, limits.max_connections);
  ReadCount(table, "memory_mb", 0, 1 << 20, limits.memory_mb);
  ReadCount(table, "descriptors", 0, 1 << 24, limits.descriptors);
  ReadCount(table, "max_header_bytes", 256, 1 << 20, limits.max_header_bytes);
  ReadCount(table, "max_body_bytes", 1, kMaxBytes, limits.max_body_bytes);
  ReadCount(table, "max_answer_bytes", 1, kMaxBytes, limits.max_answer_bytes);
  ReadCount(table, "max_held_bytes", 1, kMaxBytes, limits.max_held_bytes);
  ReadCount(table, "max_queued_per_customer", 1, 1'000'000,
            limits.max_queued_per_customer);
  ReadCount(table, "max_queued_total", 1, 1'000'000, limits.max_queued_total);
  table.RejectUnknownKeys();
}

void ReadTimeouts(checked_table& root, settings& out) {
  const toml::table* node = root.Table("timeouts");
  if (node == nullptr) {
    return;
  }
  checked_table table(*node, "timeouts", root.errors());
  timeout_settings& timeouts = out.timeouts;
  ReadMilliseconds(table, "caller_idle_ms", 1, timeouts.caller_idle);
  ReadMilliseconds(table, "caller_read_ms", 1, timeouts.caller_read);
  ReadMilliseconds(table, "caller_write_ms", 1, timeouts.caller_write);
  ReadMilliseconds(table, "queue_ms", 1, timeouts.queue);
  ReadMilliseconds(table, "connect_ms", 1, timeouts.connect);
  ReadMilliseconds(table, "first_token_ms", 1, timeouts.first_token);
  ReadMilliseconds(table, "between_tokens_ms", 1, timeouts.between_tokens);
  ReadMilliseconds(table, "whole_answer_ms", 1, timeouts.whole_answer);
  ReadMilliseconds(table, "service_answer_ms", 1, timeouts.service_answer);
  ReadMilliseconds(table, "total_ms", 1, timeouts.total);
  ReadMilliseconds(table, "target_silence_ms", 1, timeouts.target_silence);
  ReadMilliseconds(table, "target_idle_ms", 1, timeouts.target_idle);
  ReadMilliseconds(table, "drain_notice_ms", 0, timeouts.drain_notice);
  ReadMilliseconds(table, "drain_deadline_ms", 0, timeouts.drain_deadline);
  if (const auto seconds = table.Number("shutdown_s")) {
    timeouts.shutdown = std::chrono::milliseconds(
        static_cast<std::int64_t>(*seconds * kMillisecondsPerSecond));
  }
  table.RejectUnknownKeys();
}

void ReadRetries(checked_table& root, settings& out) {
  const toml::table* node = root.Table("retries");
  if (node == nullptr) {
    return;
  }
  checked_table table(*node, "retries", root.errors());
  ReadCount(table, "max_attempts", 1, 10, out.retries.max_attempts);
  out.retries.budget_ratio =
      table.Number("budget_ratio").value_or(out.retries.budget_ratio);
  out.retries.budget_per_second =
      table.Number("budget_per_second").value_or(out.retries.budget_per_second);
  out.retries.fleet_budget =
      table.Number("fleet_budget").value_or(out.retries.fleet_budget);
  if (out.retries.fleet_budget < 0) {
    table.Report("fleet_budget", "must not be negative");
  }
  if (out.retries.budget_ratio < 0 || out.retries.budget_ratio > 1) {
    table.Report("budget_ratio", "must be between 0 and 1");
  }
  if (out.retries.budget_per_second < 0) {
    table.Report("budget_per_second", "must not be negative");
  }
  table.RejectUnknownKeys();
}

void ReadRollouts(checked_table& root, settings& out) {
  const toml::table* node = root.Table("rollouts");
  if (node == nullptr) {
    return;
  }
  checked_table table(*node, "rollouts", root.errors());
  rollout_settings& rollouts = out.rollouts;
  const auto ratio = table.Number("exposure_ratio");
  const auto tolerance = table.Number("exposure_tolerance");
  rollouts.enabled = ratio || tolerance;
  rollouts.exposure_ratio = ratio.value_or(rollouts.exposure_ratio);
  rollouts.exposure_tolerance = tolerance.value_or(rollouts.exposure_tolerance);
  if (rollouts.exposure_ratio < 0 || rollouts.exposure_ratio > 1) {
    table.Report("exposure_ratio", "must be between 0 and 1");
  }
  if (rollouts.exposure_tolerance < 0) {
    table.Report("exposure_tolerance", "must not be negative");
  }
  table.RejectUnknownKeys();
}

void ReadIdentity(checked_table& root, const std::string& file, settings& out) {
  out.daemon = daemon_id(root.RequiredString("daemon"));
  out.data_centre = data_centre_id(root.RequiredString("data_centre"));
  out.region = region_id(root.RequiredString("region"));
  out.data_folder = root.String("data_folder").value_or("");
  if (!HasRoutes(out.interface)) {
    const std::filesystem::path sheet = root.RequiredString("sheet");
    out.sheet_path =
        (std::filesystem::path(file).parent_path() / sheet).string();
  }
}

}  // namespace

result<settings> ParseSettings(std::string_view text, const std::string& file) {
  result<toml::table> parsed = ParseToml(text, file, kReadStep);
  if (!parsed) {
    return parsed.error();
  }
  error_recorder errors(kReadStep, file);
  checked_table root(parsed.value(), "", errors);
  settings out;
  ReadInterface(root, out);
  ReadIdentity(root, file, out);
  ReadRoles(root, out);
  ReadPeers(root, out);
  ReadControl(root, out);
  ReadListen(root, out);
  ReadTokens(root, out);
  ReadLog(root, out);
  ReadLimits(root, out);
  ReadTimeouts(root, out);
  ReadRetries(root, out);
  ReadRollouts(root, out);
  root.RejectUnknownKeys();
  if (!errors.ok()) {
    return errors.first_error();
  }
  return out;
}

result<settings> ReadSettings(const std::string& file) {
  const result<std::string> text = ReadFile(file, kReadStep);
  if (!text) {
    return text.error();
  }
  return ParseSettings(text.value(), file);
}

}  // namespace burdocklock::config
