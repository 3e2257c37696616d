// File operations of the replicated log: recovery, synced appends and atomic
// rewrites.
#include "storage/log_file.h"

#include <cerrno>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/outcome/success_failure.hpp>

#include "quorum/quorum_codec.h"
#include "storage/log_frames.h"

namespace burdocklock::storage {

namespace {

constexpr char kFileName[] = "/quorum.log";
constexpr char kNewSuffix[] = ".new";
constexpr char kDamagedSuffix[] = ".damaged";
constexpr int kFileMode = 0644;
constexpr std::size_t kReadBytes = 256 * 1024;

result<void> Ok() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool WriteAll(int file, std::string_view bytes, std::uint64_t offset) {
  while (!bytes.empty()) {
    const ssize_t written =
        ::pwrite(file, bytes.data(), bytes.size(), static_cast<off_t>(offset));
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
    offset += static_cast<std::uint64_t>(written);
  }
  return true;
}

bool ReadAll(int file, std::string& bytes) {
  std::string buffer(kReadBytes, '\0');
  while (true) {
    const ssize_t count = ::read(file, buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return count == 0;
    }
    bytes.append(buffer, 0, static_cast<std::size_t>(count));
  }
}

}  // namespace

log_file::log_file(std::string folder)
    : folder_(std::move(folder)), path_(folder_ + kFileName) {}

log_file::~log_file() {
  if (file_ >= 0) {
    ::close(file_);
  }
}

error log_file::SystemError(const char* step) const {
  const bool is_full = errno == ENOSPC || errno == EDQUOT;
  return {.code = is_full ? error_code::kDiskFull : error_code::kUnreadable,
          .step = step,
          .peer = path_,
          .detail = std::generic_category().message(errno)};
}

result<std::optional<quorum::durable_state>> log_file::Open() {
  std::optional<quorum::durable_state> state;
  file_ = ::open(path_.c_str(), O_RDWR | O_CLOEXEC);
  if (file_ < 0) {
    if (errno == ENOENT) {
      return state;
    }
    return SystemError("open log");
  }
  std::string bytes;
  if (!ReadAll(file_, bytes)) {
    return SystemError("read log");
  }
  const auto scanned = ScanFrames(bytes);
  if (!scanned) {
    return scanned.error();
  }
  for (const std::string_view payload : scanned.value().payloads) {
    const auto record = quorum::DecodeRecord(payload);
    if (!record) {
      return record.error();
    }
    if (!state) {
      state.emplace();
    }
    Apply(record.value(), *state);
  }
  synced_ = scanned.value().valid_bytes;
  if (synced_ < bytes.size()) {
    if (auto truncated = Truncate(synced_); !truncated) {
      return truncated.error();
    }
  }
  return state;
}

result<void> log_file::RenameDamaged() {
  if (file_ >= 0) {
    ::close(std::exchange(file_, -1));
  }
  synced_ = 0;
  if (::rename(path_.c_str(), (path_ + kDamagedSuffix).c_str()) != 0) {
    return SystemError("rename damaged log");
  }
  return SyncFolder();
}

result<void> log_file::Write(
    const std::vector<quorum::storage_record>& records) {
  std::string bytes;
  bool rewritten = false;
  for (const quorum::storage_record& record : records) {
    if (std::holds_alternative<quorum::rewrite_record>(record)) {
      // A rewrite record replaces all records before it.
      bytes.clear();
      rewritten = true;
    }
    AppendFrame(quorum::EncodeRecord(record), rewritten ? 0 : synced_, bytes);
  }
  return rewritten ? Rewrite(bytes) : Append(bytes);
}

result<void> log_file::Append(const std::string& bytes) {
  if (file_ < 0) {
    return error{.code = error_code::kInternal,
                 .step = "append to log",
                 .peer = path_,
                 .detail = "the log has no rewrite record to append to"};
  }
  if (!WriteAll(file_, bytes, synced_) || ::fdatasync(file_) != 0) {
    const error failure = SystemError("append to log");
    if (auto truncated = Truncate(synced_); !truncated) {
      return error{.code = failure.code,
                   .step = failure.step,
                   .peer = failure.peer,
                   .detail = failure.detail + "; " + truncated.error().detail};
    }
    return failure;
  }
  synced_ += bytes.size();
  return Ok();
}

result<void> log_file::Rewrite(const std::string& bytes) {
  const std::string path = path_ + kNewSuffix;
  const int file =
      ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return SystemError("create log");
  }
  if (!WriteAll(file, bytes, 0) || ::fsync(file) != 0 ||
      ::rename(path.c_str(), path_.c_str()) != 0) {
    const error failure = SystemError("rewrite log");
    ::close(file);
    // Free the space in case the disk is full; the next rewrite creates the
    // file again.
    ::unlink(path.c_str());
    return failure;
  }
  if (file_ >= 0) {
    ::close(file_);
  }
  file_ = file;
  synced_ = bytes.size();
  return SyncFolder();
}

result<void> log_file::SyncFolder() {
  const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY);
  if (folder < 0) {
    return SystemError("open folder");
  }
  const bool synced = ::fsync(folder) == 0;
  const error failure = SystemError("sync folder");
  ::close(folder);
  return synced ? Ok() : result<void>(failure);
}

result<void> log_file::Truncate(std::uint64_t length) {
  if (::ftruncate(file_, static_cast<off_t>(length)) != 0 ||
      ::fdatasync(file_) != 0) {
    return SystemError("truncate log");
  }
  return Ok();
}

}  // namespace burdocklock::storage
