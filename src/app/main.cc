// Command-line entry point of burdocklockd.
#include <algorithm>
#include <iostream>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "app/control_host.h"
#include "app/daemon.h"
#include "config/config_reader.h"
#include "framework/logging/boost_logger.h"
#include "platform/platform_adapter.h"
#include "route_interface/route_adapter.h"

namespace {

// Exit codes, documented in docs/operations/daemon.md.
constexpr int kExitOk = 0;
constexpr int kExitBadConfig = 2;
constexpr int kExitCannotRun = 3;

using burdocklock::error;

int ReportFailure(const error& problem, int exit_code) {
  std::cerr << "burdocklockd: " << problem.Message() << '\n';
  return exit_code;
}

using burdocklock::app::i_interface_adapter;
using burdocklock::config::caller_interface;
using burdocklock::config::role;
using burdocklock::config::settings;

bool HasRole(const settings& settings, role role) {
  return std::find(settings.roles.begin(), settings.roles.end(), role) !=
         settings.roles.end();
}

// Returns nullptr for the OpenAI-style interface, which needs no adapter.
std::unique_ptr<i_interface_adapter> MakeAdapter(const settings& settings) {
  switch (settings.interface) {
    case caller_interface::kOpenai:
      return nullptr;
    case caller_interface::kRoutes:
      return std::make_unique<burdocklock::route_interface::route_adapter>(
          burdocklock::route_interface::command_tokens{
              .operators = settings.operator_tokens,
              .targets = settings.target_tokens});
    case caller_interface::kPlatform:
      return std::make_unique<burdocklock::platform::platform_adapter>();
  }
  return nullptr;
}

int RunRouter(const settings& settings,
              const burdocklock::config::sheet& sheet,
              burdocklock::i_logger& logger,
              const i_interface_adapter* adapter,
              const burdocklock::app::settings_source& reread) {
  burdocklock::app::daemon daemon(settings, sheet, logger, adapter, reread);
  const auto run = daemon.Run([](const auto& addresses) {
    std::cout << "{\"callers\":\"" << ToString(addresses.callers)
              << "\",\"operators\":\"" << ToString(addresses.operators) << "\"}"
              << std::endl;
  });
  return run ? kExitOk : ReportFailure(run.error(), kExitCannotRun);
}

int RunControlHost(const settings& settings,
                   burdocklock::i_logger& logger,
                   const i_interface_adapter& adapter,
                   const burdocklock::app::settings_source& reread) {
  burdocklock::app::control_host host(settings, logger, adapter, reread);
  const auto run = host.Run([&settings] {
    std::cout << "{\"commands\":\"" << ToString(settings.commands) << "\"}"
              << std::endl;
  });
  return run ? kExitOk : ReportFailure(run.error(), kExitCannotRun);
}

int RunDaemon(const std::string& settings_path, bool check_only) {
  auto read = burdocklock::config::ReadSettings(settings_path);
  if (!read) {
    return ReportFailure(read.error(), kExitBadConfig);
  }
  const settings& settings = read.value();
  const bool routed = burdocklock::config::HasRoutes(settings.interface);
  burdocklock::config::sheet sheet;
  if (!routed) {
    auto sheet_read = burdocklock::config::ReadSheet(settings.sheet_path);
    if (!sheet_read) {
      return ReportFailure(sheet_read.error(), kExitBadConfig);
    }
    sheet = sheet_read.value();
  }
  if (check_only) {
    std::cout << settings_path << ": ok\n";
    if (!routed) {
      std::cout << settings.sheet_path << ": ok\n";
    }
    return kExitOk;
  }
  burdocklock::boost_logger logger({.path = settings.log.path,
                                    .min_level = settings.log.level,
                                    .daemon = settings.daemon.value()});
  const std::unique_ptr<i_interface_adapter> adapter = MakeAdapter(settings);
  if (adapter == nullptr) {
    return RunRouter(settings, sheet, logger, nullptr, {});
  }
  const auto reread = [&settings_path] {
    return burdocklock::config::ReadSettings(settings_path);
  };
  return HasRole(settings, role::kControl)
             ? RunControlHost(settings, logger, *adapter, reread)
             : RunRouter(settings, sheet, logger, adapter.get(), reread);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Routes callers' requests to model engines and services.");
  std::string settings_path;
  bool check_only = false;
  app.add_option("--settings", settings_path, "Settings file (TOML)")
      ->required();
  app.add_flag("--check", check_only,
               "Check the settings and the sheet, then exit");
  CLI11_PARSE(app, argc, argv);
  return RunDaemon(settings_path, check_only);
}
