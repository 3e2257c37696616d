// A file that is replaced as a whole: damage, disks that refuse writes, and a
// writer that is asked more than the disk does.
#include "storage/state_file.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include <sys/resource.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "storage/state_writer.h"

namespace burdocklock::storage {
namespace {

constexpr std::size_t kMaxBytes = 10'000;

struct state_file_fixture {
  std::filesystem::path folder;

  state_file_fixture() {
    std::string name =
        (std::filesystem::temp_directory_path() / "burdocklock-XXXXXX")
            .string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
  }
  ~state_file_fixture() { std::filesystem::remove_all(folder); }

  [[nodiscard]] state_file File() const { return {folder.string(), "state"}; }
  [[nodiscard]] std::filesystem::path Path() const { return folder / "state"; }
  [[nodiscard]] std::string Bytes() const {
    std::ifstream in(Path(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void Overwrite(const std::string& bytes) const {
    std::ofstream(Path(), std::ios::binary | std::ios::trunc) << bytes;
  }
  [[nodiscard]] std::string Value() const {
    const auto read = File().Read(kMaxBytes);
    REQUIRE(read.has_value());
    return read.value().value_or("none");
  }
  /// Returns false if it does not become so in time.
  template <typename Condition>
  static bool Await(Condition condition) {
    for (int tries = 0; tries < 1000 && !condition(); ++tries) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
  }
};

TEST_CASE_METHOD(state_file_fixture, "state file: none: no value") {
  CHECK(Value() == "none");
}

TEST_CASE_METHOD(state_file_fixture,
                 "state file: written again: the later value") {
  REQUIRE(File().Write("first"));
  REQUIRE(File().Write(""));
  CHECK(Value().empty());
  REQUIRE(File().Write("third"));
  CHECK(Value() == "third");
}

TEST_CASE_METHOD(state_file_fixture,
                 "state file: cut off or changed at any byte: damaged") {
  REQUIRE(File().Write("a value"));
  const std::string bytes = Bytes();
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    CAPTURE(at);
    Overwrite(bytes.substr(0, at));
    CHECK(File().Read(kMaxBytes).error().code == error_code::kMalformed);
    std::string changed = bytes;
    changed[at] = static_cast<char>(changed[at] ^ 1);
    Overwrite(changed);
    CHECK(File().Read(kMaxBytes).error().code == error_code::kMalformed);
  }
  Overwrite(bytes + "x");
  CHECK(File().Read(kMaxBytes).error().code == error_code::kMalformed);
  REQUIRE(File().Write("again"));
  CHECK(Value() == "again");
}

TEST_CASE_METHOD(state_file_fixture,
                 "state file: larger than what is written: not read") {
  Overwrite(std::string(kMaxBytes + 1, 'x'));
  CHECK(File().Read(kMaxBytes).error().code == error_code::kTooLarge);
}

TEST_CASE_METHOD(state_file_fixture,
                 "state file: disk is full: the value before is kept") {
  REQUIRE(File().Write("before"));
  // Otherwise a write beyond the limit ends the process.
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit unlimited{};
  REQUIRE(::getrlimit(RLIMIT_FSIZE, &unlimited) == 0);
  rlimit limited = unlimited;
  limited.rlim_cur = 100;
  REQUIRE(::setrlimit(RLIMIT_FSIZE, &limited) == 0);
  const auto written = File().Write(std::string(200, 'x'));
  REQUIRE(::setrlimit(RLIMIT_FSIZE, &unlimited) == 0);
  CHECK_FALSE(written);
  CHECK(Value() == "before");
  CHECK(std::distance(std::filesystem::directory_iterator(folder), {}) == 1);
}

TEST_CASE_METHOD(state_file_fixture,
                 "state writer: values come faster than writes: the newest is "
                 "written") {
  std::atomic<int> made{0};
  state_writer writer(File(), [](const result<void>&) {});
  for (int i = 1; i <= 100; ++i) {
    writer.Submit([&made, i] {
      ++made;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      return std::to_string(i);
    });
  }
  CHECK(Await([this] { return Value() == "100"; }));
  CHECK(made < 100);
}

TEST_CASE_METHOD(state_file_fixture,
                 "state writer: disk refuses writes for a time: told once, the "
                 "newest value is written") {
  std::atomic<int> failed{0};
  std::atomic<int> regained{0};
  const std::filesystem::path away = folder / "away";
  state_writer writer(
      state_file(away.string(), "state"),
      [&](const result<void>& state) { ++(state ? regained : failed); });
  writer.Submit([] { return std::string("first"); });
  REQUIRE(Await([&failed] { return failed == 1; }));
  writer.Submit([] { return std::string("second"); });
  std::filesystem::create_directory(away);
  CHECK(Await([&regained] { return regained == 1; }));
  CHECK(failed == 1);
  const auto read = state_file(away.string(), "state").Read(kMaxBytes);
  REQUIRE(read.has_value());
  CHECK(read.value() == "second");
}

}  // namespace
}  // namespace burdocklock::storage
