// Command-line interface of burdocklockctl.
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>

#include <CLI/CLI.hpp>

#include "ctl/command_line.h"
#include "ctl/operator_client.h"
#include "ctl/rollout_commands.h"
#include "route_interface/configuration_document.h"
#include "routes/configuration_checks.h"

namespace {

using burdocklock::error;
using burdocklock::error_code;
using burdocklock::result;
using burdocklock::ctl::ctl_options;
using burdocklock::ctl::Fail;
using burdocklock::ctl::kExitInvalid;
using burdocklock::ctl::kExitOk;
using burdocklock::ctl::MakeClient;
using burdocklock::ctl::operator_client;
using burdocklock::ctl::Show;

// Sends a command and prints `done` if the daemon accepted it.
int SendCommand(const ctl_options& options,
                const std::string& path,
                const std::string& done) {
  const operator_client client = MakeClient(options);
  const auto document = client.Post(path);
  if (!document) {
    return Fail(document.error());
  }
  std::cout << (options.json ? document.value().dump() : done) << '\n';
  return kExitOk;
}

constexpr char kConfiguration[] = "/v1/configuration";

result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return error{.code = error_code::kInvalidArgument,
                 .step = "read file",
                 .peer = path,
                 .detail = "cannot be read"};
  }
  return text.str();
}

// Reads a configuration and runs all checks that need no running daemon.
result<std::string> ReadCheckedConfiguration(const std::string& path) {
  auto text = ReadFile(path);
  if (!text) {
    return text;
  }
  const auto configuration =
      burdocklock::route_interface::configuration_document().Read(text.value());
  if (!configuration) {
    return configuration.error();
  }
  if (const auto checked = burdocklock::routes::CheckNew(configuration.value());
      !checked) {
    return checked.error();
  }
  return text;
}

int CheckConfiguration(const std::string& path) {
  const auto text = ReadCheckedConfiguration(path);
  if (!text) {
    std::cerr << path << ": " << text.error().Message() << '\n';
    return kExitInvalid;
  }
  std::cout << path << ": ok\n";
  return kExitOk;
}

int ApplyConfiguration(const ctl_options& options, const std::string& path) {
  const auto text = ReadCheckedConfiguration(path);
  if (!text) {
    std::cerr << path << ": " << text.error().Message() << '\n';
    return kExitInvalid;
  }
  const auto applied = MakeClient(options).Put(kConfiguration, text.value());
  if (!applied) {
    return Fail(applied.error());
  }
  std::cout << path << ": in force or overtaken by a higher version\n";
  return kExitOk;
}

int ShowConfiguration(const ctl_options& options) {
  const auto document = MakeClient(options).Get(kConfiguration);
  if (!document) {
    return Fail(document.error());
  }
  std::cout << document.value().dump(2) << '\n';
  return kExitOk;
}

void AddRolloutCommands(CLI::App& app, ctl_options& options, int& exit_code) {
  struct order {
    std::string service;
    std::string version;
    double seconds = 0;
  };
  CLI::App* rollout = app.add_subcommand(
      "rollout", "Move a service to a software version (control host)");
  rollout->require_subcommand(1);
  const auto given = std::make_shared<order>();
  CLI::App* begin = rollout->add_subcommand("begin", "Order a rollout");
  begin->add_option("service", given->service, "Service")->required();
  begin->add_option("version", given->version, "Version")->required();
  begin->add_option("seconds", given->seconds, "Time that it may take")
      ->required();
  begin->callback([&options, &exit_code, given] {
    exit_code = burdocklock::ctl::BeginRollout(options, given->service,
                                               given->version, given->seconds);
  });
  CLI::App* status =
      rollout->add_subcommand("status", "Show the latest rollout of a service");
  status->add_option("service", given->service, "Service")->required();
  status->callback([&options, &exit_code, given] {
    exit_code = burdocklock::ctl::ShowRollout(options, given->service);
  });
  CLI::App* history = rollout->add_subcommand(
      "history", "Show how the latest rollouts of a service went");
  history->add_option("service", given->service, "Service")->required();
  history->callback([&options, &exit_code, given] {
    exit_code = burdocklock::ctl::ShowRolloutHistory(options, given->service);
  });
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Inspects and controls burdocklock daemons.");
  app.require_subcommand(1);
  ctl_options options;
  app.add_option("--address", options.address,
                 "Operator address of a daemon (ip:port)")
      ->capture_default_str();
  app.add_option("--token", options.token, "Operator token")
      ->envname("BURDOCKLOCK_TOKEN");
  app.add_option("--timeout", options.timeout_s,
                 "Seconds to wait for a daemon's answer")
      ->check(CLI::Range(0.1, 600.0))
      ->capture_default_str();
  app.add_flag("--json", options.json, "Print JSON instead of a table");
  int exit_code = kExitOk;
  app.add_subcommand("status", "Show the state of the daemon")->callback([&] {
    exit_code = Show(options, "/v1/status", "");
  });
  app.add_subcommand("targets", "List the targets that the daemon knows")
      ->callback([&] { exit_code = Show(options, "/v1/targets", "targets"); });
  app.add_subcommand("customers", "List the service of each customer")
      ->callback(
          [&] { exit_code = Show(options, "/v1/customers", "customers"); });
  app.add_subcommand("members", "List the daemons that the daemon can reach")
      ->callback([&] { exit_code = Show(options, "/v1/members", "members"); });
  CLI::App* data_centre =
      app.add_subcommand("dc", "Take a data centre out of service or back in");
  data_centre->require_subcommand(1);
  std::string name;
  for (const char* action : {"out", "in"}) {
    CLI::App* command = data_centre->add_subcommand(action);
    command->add_option("name", name, "Data centre")->required();
    command->callback([&, action] {
      exit_code =
          SendCommand(options, "/v1/data-centres/" + name + "/" + action,
                      name + " " + action + ": accepted");
    });
  }
  CLI::App* configuration = app.add_subcommand(
      "config", "Show, check or apply the configuration (control host)");
  configuration->require_subcommand(1);
  configuration->add_subcommand("show", "Print the newest configuration")
      ->callback([&] { exit_code = ShowConfiguration(options); });
  std::string file;
  CLI::App* check =
      configuration->add_subcommand("check", "Check a file, without a daemon");
  check->add_option("file", file, "Configuration (JSON)")->required();
  check->callback([&] { exit_code = CheckConfiguration(file); });
  CLI::App* apply =
      configuration->add_subcommand("apply", "Apply a configuration file");
  apply->add_option("file", file, "Configuration (JSON)")->required();
  apply->callback([&] { exit_code = ApplyConfiguration(options, file); });
  AddRolloutCommands(app, options, exit_code);
  app.add_subcommand("drain", "Shut the daemon down gracefully")->callback([&] {
    exit_code = SendCommand(options, "/v1/drain", "draining");
  });
  app.fallthrough();
  CLI11_PARSE(app, argc, argv);
  return exit_code;
}
