// See the header.
#include "storage/state_file.h"

#include <cerrno>
#include <cstdint>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include "storage/internal/file_operations.h"
#include "storage/log_frames.h"

namespace burdocklock::storage {

result<std::optional<std::string>> state_file::Read(
    std::size_t max_bytes) const {
  const int file = ::open(path_.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    if (errno == ENOENT) {
      return std::optional<std::string>();
    }
    return SystemError("open file", path_);
  }
  struct stat facts {};
  if (::fstat(file, &facts) == 0 &&
      static_cast<std::uint64_t>(facts.st_size) > max_bytes) {
    ::close(file);
    return error{.code = error_code::kTooLarge,
                 .step = "read file",
                 .peer = path_,
                 .detail = "larger than what is ever written"};
  }
  std::string bytes;
  const bool is_read = ReadAll(file, bytes);
  const error failure = SystemError("read file", path_);
  ::close(file);
  if (!is_read) {
    return failure;
  }
  const auto scanned = ScanFrames(bytes);
  if (!scanned || scanned.value().payloads.size() != 1 ||
      scanned.value().valid_bytes != bytes.size()) {
    return error{.code = error_code::kMalformed,
                 .step = "read file",
                 .peer = path_,
                 .detail = "cut off or damaged"};
  }
  return std::optional(std::string(scanned.value().payloads.front()));
}

result<void> state_file::Write(std::string_view value) const {
  std::string bytes;
  AppendFrame(value, 0, bytes);
  const auto file = ReplaceFile(path_, bytes);
  if (!file) {
    return file.error();
  }
  ::close(file.value());
  return SyncFolder(folder_);
}

}  // namespace burdocklock::storage
