// The log on a disk that refuses writes: at any byte of an append or a rewrite,
// as it is created, and as it is renamed. A limit of the process on the size of
// its files stands for the end of the disk.
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "storage/log_file.h"
#include "storage/log_writer.h"

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
using quorum::vote_record;

// While it exists, no file of this process grows beyond `bytes`.
class file_size_limit {
 public:
  explicit file_size_limit(std::uint64_t bytes) {
    REQUIRE(::getrlimit(RLIMIT_FSIZE, &before_) == 0);
    rlimit limited = before_;
    limited.rlim_cur = bytes;
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &limited) == 0);
  }
  ~file_size_limit() { ::setrlimit(RLIMIT_FSIZE, &before_); }

 private:
  rlimit before_{};
};

struct full_disk_fixture {
  std::filesystem::path folder;
  durable_state expected;
  std::unique_ptr<log_file> file;

  full_disk_fixture() {
    // Otherwise a write beyond the limit ends the process.
    std::signal(SIGXFSZ, SIG_IGN);
    std::string name =
        (std::filesystem::temp_directory_path() / "burdocklock-XXXXXX")
            .string();
    REQUIRE(::mkdtemp(name.data()) != nullptr);
    folder = name;
    file = std::make_unique<log_file>(folder.string());
    REQUIRE(file->Open().has_value());
    expected.self = member_id("a#0");
    expected.term = term_number(1);
    expected.base = {.last_index = log_index(1),
                     .last_term = term_number(1),
                     .members = {{.id = member_id("a#0"), .voter = true}},
                     .state = "s"};
    REQUIRE(file->Write({rewrite_record{expected}}).has_value());
  }
  ~full_disk_fixture() {
    file.reset();
    std::filesystem::remove_all(folder);
  }

  std::filesystem::path Path() const { return folder / "quorum.log"; }
  std::uint64_t Size() const { return std::filesystem::file_size(Path()); }
  storage_record Append(std::size_t bytes) const {
    const std::uint64_t next =
        expected.base.last_index.value() + expected.entries.size() + 1;
    return append_record{{.index = log_index(next),
                          .term = term_number(2),
                          .kind = quorum::entry_kind::kCommand,
                          .command = std::string(bytes, 'x')}};
  }
  // The snapshot of all entries so far.
  storage_record Compact(std::size_t bytes) const {
    durable_state state = expected;
    if (!state.entries.empty()) {
      state.base.last_index = state.entries.back().index;
      state.base.last_term = state.entries.back().term;
    }
    state.base.state.assign(bytes, 's');
    state.entries.clear();
    return rewrite_record{state};
  }
  static durable_state Recover(const std::filesystem::path& from) {
    log_file reopened(from.string());
    const auto opened = reopened.Open();
    RC_ASSERT(opened.has_value());
    RC_ASSERT(opened.value().has_value());
    return *opened.value();
  }
  // What a process that ends now and starts again finds.
  durable_state RecoverCopy() const {
    const std::filesystem::path copy = folder / "copy";
    std::filesystem::create_directory(copy);
    std::filesystem::copy_file(Path(), copy / "quorum.log");
    const durable_state found = Recover(copy);
    std::filesystem::remove_all(copy);
    return found;
  }
  // The disk is full after `room` bytes of the record, or of the new file.
  void WriteWithRoom(const storage_record& record, std::uint64_t room) {
    const bool rewrites = std::holds_alternative<rewrite_record>(record);
    durable_state after = expected;
    Apply(record, after);
    const auto write_limited = [&] {
      const file_size_limit limit(room + (rewrites ? 0 : Size()));
      return file->Write({record});
    };
    if (!write_limited()) {
      const durable_state found = RecoverCopy();
      RC_ASSERT(found == expected || found == after);
      RC_ASSERT(file->Write({record}).has_value());
    }
    expected = after;
    RC_ASSERT(RecoverCopy() == expected);
  }
};

// Changes were refused long after the disk had room again.
TEST_CASE(
    "log file: the disk is full at any byte of a write, then has room: "
    "nothing acknowledged is lost, and later writes succeed") {
  rc::prop("room", [] {
    full_disk_fixture subject;
    const int steps = *rc::gen::inRange(1, 8);
    for (int i = 0; i < steps; ++i) {
      const std::size_t bytes = *rc::gen::inRange<std::size_t>(0, 300);
      const auto room = *rc::gen::inRange<std::uint64_t>(0, 500);
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          subject.WriteWithRoom(subject.Compact(bytes), room);
          break;
        case 1:
          subject.WriteWithRoom(
              vote_record{term_number(subject.expected.term.value() + 1),
                          member_id("b#0")},
              room);
          break;
        default:
          subject.WriteWithRoom(subject.Append(bytes), room);
      }
    }
  });
}

TEST_CASE_METHOD(full_disk_fixture,
                 "log file: a snapshot cannot be renamed: the log before it "
                 "holds, and the next attempt succeeds") {
  const storage_record snapshot = Compact(100);
  const std::filesystem::path aside = folder / "aside";
  std::filesystem::rename(Path(), aside);
  std::filesystem::create_directory(Path());
  CHECK_FALSE(file->Write({snapshot}).has_value());
  std::filesystem::remove(Path());
  std::filesystem::rename(aside, Path());
  CHECK(RecoverCopy() == expected);
  CHECK(file->Write({Append(10)}).has_value());
  Apply(Append(10), expected);
  REQUIRE(file->Write({Compact(100)}).has_value());
  Apply(Compact(100), expected);
  CHECK(RecoverCopy() == expected);
}

TEST_CASE_METHOD(full_disk_fixture,
                 "log file: a snapshot cannot be created: the log before it "
                 "holds, and the next attempt succeeds") {
  const std::filesystem::path created = folder / "quorum.log.new";
  std::filesystem::create_directory(created);
  CHECK_FALSE(file->Write({Compact(100)}).has_value());
  CHECK(RecoverCopy() == expected);
  std::filesystem::remove(created);
  REQUIRE(file->Write({Compact(100)}).has_value());
  Apply(Compact(100), expected);
  CHECK(RecoverCopy() == expected);
}

TEST_CASE_METHOD(full_disk_fixture,
                 "log writer: the disk is full while a snapshot and changes "
                 "are written, then has room: all of them become durable") {
  std::promise<void> failed;
  std::promise<void> regained;
  std::promise<void> durable;
  const quorum::batch_number last(3);
  std::vector<storage_record> records = {Append(50)};
  Apply(records[0], expected);
  records.push_back(Compact(400));
  Apply(records[1], expected);
  records.push_back(Append(60));
  Apply(records[2], expected);
  log_writer writer(std::move(file),
                    {.on_durable =
                         [&](quorum::batch_number batch) {
                           if (batch == last) {
                             durable.set_value();
                           }
                         },
                     .on_disk_state =
                         [&](const result<void>& state) {
                           (state ? regained : failed).set_value();
                         }});
  {
    const file_size_limit limit(Size());
    for (std::size_t i = 0; i < records.size(); ++i) {
      writer.Submit(quorum::batch_number(i + 1), {records[i]});
    }
    failed.get_future().get();
  }
  regained.get_future().get();
  durable.get_future().get();
  CHECK(RecoverCopy() == expected);
}

}  // namespace
}  // namespace burdocklock::storage
