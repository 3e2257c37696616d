// Command line of burdocklockd.
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "app/daemon.h"
#include "config/config_reader.h"
#include "framework/logging/boost_logger.h"

namespace {

// Exit codes, documented in docs/operations/daemon.md.
constexpr int kExitOk = 0;
constexpr int kExitBadConfig = 2;
constexpr int kExitCannotRun = 3;

using burdocklock::error;

int Fail(const error& problem, int exit_code) {
  std::cerr << "burdocklockd: " << problem.Message() << '\n';
  return exit_code;
}

int RunDaemon(const std::string& settings_path, bool check_only) {
  auto settings = burdocklock::config::ReadSettings(settings_path);
  if (!settings) {
    return Fail(settings.error(), kExitBadConfig);
  }
  auto sheet = burdocklock::config::ReadSheet(settings.value().sheet_path);
  if (!sheet) {
    return Fail(sheet.error(), kExitBadConfig);
  }
  if (check_only) {
    std::cout << settings_path << ": ok\n"
              << settings.value().sheet_path << ": ok\n";
    return kExitOk;
  }
  burdocklock::boost_logger logger({.path = settings.value().log.path,
                                    .min_level = settings.value().log.level,
                                    .daemon = settings.value().daemon.value()});
  burdocklock::app::daemon daemon(settings.value(), sheet.value(), logger);
  const auto run = daemon.Run([](const auto& addresses) {
    std::cout << "{\"callers\":\"" << ToString(addresses.callers)
              << "\",\"operators\":\"" << ToString(addresses.operators) << "\"}"
              << std::endl;
  });
  return run ? kExitOk : Fail(run.error(), kExitCannotRun);
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
