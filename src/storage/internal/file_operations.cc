// See the header.
#include "storage/internal/file_operations.h"

#include <cerrno>
#include <cstddef>
#include <system_error>

#include <fcntl.h>
#include <unistd.h>

#include <boost/outcome/success_failure.hpp>

namespace burdocklock::storage {

namespace {

constexpr char kNewSuffix[] = ".new";
constexpr int kFileMode = 0644;
constexpr std::size_t kReadBytes = 256 * 1024;

}  // namespace

error SystemError(const char* step, const std::string& path) {
  const bool is_full = errno == ENOSPC || errno == EDQUOT;
  return {.code = is_full ? error_code::kDiskFull : error_code::kUnreadable,
          .step = step,
          .peer = path,
          .detail = std::generic_category().message(errno)};
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

result<int> ReplaceFile(const std::string& path, std::string_view bytes) {
  const std::string next = path + kNewSuffix;
  const int file =
      ::open(next.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return SystemError("create file", next);
  }
  if (!WriteAll(file, bytes, 0) || ::fsync(file) != 0 ||
      ::rename(next.c_str(), path.c_str()) != 0) {
    const error failure = SystemError("replace file", path);
    ::close(file);
    // Free the space in case the disk is full.
    ::unlink(next.c_str());
    return failure;
  }
  return file;
}

result<void> SyncFolder(const std::string& path) {
  const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) {
    return SystemError("open folder", path);
  }
  const bool synced = ::fsync(folder) == 0;
  const error failure = SystemError("sync folder", path);
  ::close(folder);
  if (synced) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return failure;
}

}  // namespace burdocklock::storage
