// Tests of log recovery after damage and power loss.
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <unistd.h>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "quorum/quorum_codec.h"
#include "storage/log_file.h"
#include "storage/log_frames.h"

namespace burdocklock::storage {
namespace {

using quorum::append_record;
using quorum::durable_state;
using quorum::log_entry;
using quorum::log_index;
using quorum::member_id;
using quorum::rewrite_record;
using quorum::storage_record;
using quorum::term_number;
using quorum::truncate_record;
using quorum::vote_record;

log_entry Command(std::uint64_t index, const std::string& text) {
  return {.index = log_index(index),
          .term = term_number(2),
          .kind = quorum::entry_kind::kCommand,
          .command = text};
}

struct folder_fixture {
  std::filesystem::path folder;

  folder_fixture() {
    std::string name =
        (std::filesystem::temp_directory_path() / "burdocklock-XXXXXX")
            .string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
  }
  ~folder_fixture() { std::filesystem::remove_all(folder); }

  std::filesystem::path Path() const { return folder / "quorum.log"; }
  std::string ReadFile() const {
    std::ifstream in(Path(), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void OverwriteFile(const std::string& bytes) const {
    std::ofstream(Path(), std::ios::binary | std::ios::trunc) << bytes;
  }
  durable_state WriteInitialState(log_file& file) const {
    REQUIRE(file.Open().has_value());
    durable_state state{.self = member_id("a#0"), .term = term_number(1)};
    state.base = {.last_index = log_index(1),
                  .last_term = term_number(1),
                  .members = {{.id = member_id("a#0"), .voter = true}},
                  .state = "s"};
    REQUIRE(file.Write({rewrite_record{state}}).has_value());
    return state;
  }
};

TEST_CASE_METHOD(folder_fixture, "log file: empty folder: no state") {
  log_file file(folder.string());
  const auto opened = file.Open();
  REQUIRE(opened.has_value());
  CHECK_FALSE(opened.value().has_value());
}

TEST_CASE_METHOD(folder_fixture,
                 "log file: reopened: recovers the written records") {
  durable_state expected;
  {
    log_file file(folder.string());
    expected = WriteInitialState(file);
    const std::vector<storage_record> records = {
        vote_record{term_number(2), member_id("b#0")},
        append_record{Command(2, "x")}, append_record{Command(3, "y")},
        truncate_record{log_index(3)}, append_record{Command(3, "z")}};
    REQUIRE(file.Write(records).has_value());
    for (const storage_record& record : records) {
      Apply(record, expected);
    }
  }
  log_file reopened(folder.string());
  const auto opened = reopened.Open();
  REQUIRE(opened.has_value());
  CHECK(opened.value() == expected);
}

TEST_CASE_METHOD(folder_fixture, "log file: torn tail: truncated, rest kept") {
  {
    log_file file(folder.string());
    WriteInitialState(file);
    REQUIRE(file.Write({append_record{Command(2, "kept")}}).has_value());
  }
  const std::string valid_bytes = ReadFile();
  std::string next;
  AppendFrame(quorum::EncodeRecord(append_record{Command(3, "torn")}),
              valid_bytes.size(), next);
  for (std::size_t torn_bytes = 1; torn_bytes < next.size(); ++torn_bytes) {
    CAPTURE(torn_bytes);
    OverwriteFile(valid_bytes + next.substr(0, torn_bytes));
    log_file reopened(folder.string());
    const auto opened = reopened.Open();
    REQUIRE(opened.has_value());
    REQUIRE(opened.value()->entries.size() == 1);
    REQUIRE(opened.value()->entries[0].command == "kept");
    REQUIRE(ReadFile() == valid_bytes);
    REQUIRE(reopened.Write({append_record{Command(3, "new")}}).has_value());
  }
}

TEST_CASE_METHOD(folder_fixture,
                 "log file: any byte of the synced part changed: rejected") {
  {
    log_file file(folder.string());
    WriteInitialState(file);
    REQUIRE(file.Write({append_record{Command(2, "a")}}).has_value());
    REQUIRE(file.Write({append_record{Command(3, "b")}}).has_value());
  }
  const std::string valid_bytes = ReadFile();
  const auto scanned = ScanFrames(valid_bytes);
  REQUIRE(scanned.has_value());
  // The last frame records the length that was synced before it.
  std::string last;
  AppendFrame(scanned.value().payloads.back(), 0, last);
  const std::size_t synced = valid_bytes.size() - last.size();
  for (std::size_t at = 0; at < synced; ++at) {
    std::string damaged = valid_bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
    CAPTURE(at);
    REQUIRE_FALSE(ScanFrames(damaged).has_value());
  }
}

TEST_CASE_METHOD(folder_fixture,
                 "log file: damaged file renamed: no log left") {
  OverwriteFile("not a log");
  log_file file(folder.string());
  REQUIRE(file.Open().has_value());
  REQUIRE(file.RenameDamaged().has_value());
  CHECK_FALSE(std::filesystem::exists(Path()));
}

TEST_CASE("frames: arbitrary bytes: no crash") {
  rc::prop("scan", [](const std::string& bytes) {
    const auto scanned = ScanFrames(bytes);
    RC_ASSERT(!scanned || scanned.value().valid_bytes <= bytes.size());
  });
}

TEST_CASE("records: arbitrary bytes: rejected or decoded, no crash") {
  rc::prop("decode", [](const std::string& bytes) {
    const auto record = quorum::DecodeRecord(bytes);
    RC_ASSERT(record.has_value() || !record.error().detail.empty());
  });
}

TEST_CASE("records: NaN in place of an integer: rejected") {
  // [half-precision NaN, 1]; found by a fuzzer.
  CHECK_FALSE(quorum::DecodeRecord("\x82\xf9\xfc\x83\x01").has_value());
}

}  // namespace
}  // namespace burdocklock::storage
