// Operations on whole files that block on the disk.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "framework/types/error.h"

namespace burdocklock::storage {

/// Describes `errno`: kDiskFull for lack of room, else kUnreadable.
error SystemError(const char* step, const std::string& path);

/// Returns false with `errno` set if not all bytes were written.
bool WriteAll(int file, std::string_view bytes, std::uint64_t offset);
/// Appends what is left of the file to `bytes`; false with `errno` set on
/// failure.
bool ReadAll(int file, std::string& bytes);

/// Replaces the file at `path` by one with these bytes, which are synced before
/// they take its name; the name is on disk once the folder is synced. Returns
/// the open file. After a failure the file is as it was.
result<int> ReplaceFile(const std::string& path, std::string_view bytes);
result<void> SyncFolder(const std::string& folder);

}  // namespace burdocklock::storage
