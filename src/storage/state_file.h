// A file with one value that is replaced as a whole.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "framework/types/error.h"

namespace burdocklock::storage {

/// All operations block on the disk.
///
/// Invariant: the file holds a value that was written whole; the one before is
/// kept until the next one is on disk.
class state_file {
 public:
  state_file(std::string folder, const std::string& name)
      : folder_(std::move(folder)), path_(folder_ + "/" + name) {}

  /// Nullopt if there is no file. Fails with kMalformed if it is damaged, and
  /// with kTooLarge beyond `max_bytes`.
  [[nodiscard]] result<std::optional<std::string>> Read(
      std::size_t max_bytes) const;
  /// Fails with kDiskFull for lack of room.
  [[nodiscard]] result<void> Write(std::string_view value) const;

 private:
  std::string folder_;
  std::string path_;
};

}  // namespace burdocklock::storage
