// The start of a control host whose disk is full.
#include "app/internal/control_log.h"

#include <filesystem>
#include <string>
#include <vector>

#include <unistd.h>

#include <catch2/catch.hpp>

namespace burdocklock::app {
namespace {

struct recording_logger : i_logger {
  std::vector<std::string> events;

  void Log(const log_record& record) override {
    events.push_back(record.event());
  }
};

struct full_disk_start_fixture {
  std::filesystem::path folder;
  config::settings settings;
  recording_logger logger;

  full_disk_start_fixture() {
    std::string name =
        (std::filesystem::temp_directory_path() / "burdocklock-XXXXXX")
            .string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
    settings.data_folder = folder.string();
  }
  ~full_disk_start_fixture() { std::filesystem::remove_all(folder); }
};

// A control host ended again and again while its disk was full at the start.
TEST_CASE_METHOD(full_disk_start_fixture,
                 "control host starts on a full disk: it waits for room") {
  // The first attempt writes here, finds no room and removes the link.
  std::filesystem::create_symlink("/dev/full", folder / "quorum.log.new");
  const result<control_log> opened = OpenControlLog(settings, 1, logger);
  REQUIRE(opened.has_value());
  CHECK(logger.events == std::vector<std::string>{"disk_failed", "log_opened"});
  CHECK(std::filesystem::is_regular_file(folder / "quorum.log"));
}

TEST_CASE_METHOD(full_disk_start_fixture,
                 "control host starts without its data folder: it fails") {
  settings.data_folder = (folder / "none").string();
  const result<control_log> opened = OpenControlLog(settings, 1, logger);
  REQUIRE_FALSE(opened.has_value());
  CHECK(opened.error().code == error_code::kUnreadable);
}

}  // namespace
}  // namespace burdocklock::app
