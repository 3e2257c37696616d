// File operations of the replicated log: recovery, synced appends and atomic
// rewrites.
#include "storage/log_file.h"

#include <cerrno>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

#include <boost/outcome/success_failure.hpp>

#include "quorum/quorum_codec.h"
#include "storage/internal/file_operations.h"
#include "storage/log_frames.h"

namespace burdocklock::storage {

namespace {

constexpr char kFileName[] = "/quorum.log";
constexpr char kDamagedSuffix[] = ".damaged";

result<void> Ok() {
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

log_file::log_file(std::string folder)
    : folder_(std::move(folder)), path_(folder_ + kFileName) {}

log_file::~log_file() {
  if (file_ >= 0) {
    ::close(file_);
  }
}

result<std::optional<quorum::durable_state>> log_file::Open() {
  std::optional<quorum::durable_state> state;
  file_ = ::open(path_.c_str(), O_RDWR | O_CLOEXEC);
  if (file_ < 0) {
    if (errno == ENOENT) {
      return state;
    }
    return SystemError("open log", path_);
  }
  std::string bytes;
  if (!ReadAll(file_, bytes)) {
    return SystemError("read log", path_);
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
    return SystemError("rename damaged log", path_);
  }
  return SyncFolder(folder_);
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
    const error failure = SystemError("append to log", path_);
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
  const auto file = ReplaceFile(path_, bytes);
  if (!file) {
    return file.error();
  }
  if (file_ >= 0) {
    ::close(file_);
  }
  file_ = file.value();
  synced_ = bytes.size();
  return SyncFolder(folder_);
}

result<void> log_file::Truncate(std::uint64_t length) {
  if (::ftruncate(file_, static_cast<off_t>(length)) != 0 ||
      ::fdatasync(file_) != 0) {
    return SystemError("truncate log", path_);
  }
  return Ok();
}

}  // namespace burdocklock::storage
