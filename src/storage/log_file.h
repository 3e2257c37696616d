// The file that persists a member's replicated log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/error.h"
#include "quorum/types/storage_record.h"

namespace burdocklock::storage {

/// All operations block on the disk.
///
/// Invariant: the file begins with a rewrite record; records for which `Write`
/// has returned success survive a power loss.
class log_file {
 public:
  explicit log_file(std::string folder);
  ~log_file();
  log_file(const log_file&) = delete;
  log_file& operator=(const log_file&) = delete;

  /// Recovers the state from the folder; nullopt if there is no log file.
  /// Truncates a tail torn by a power loss. Fails with kMalformed if the file
  /// is damaged elsewhere, and with kDiskFull if the tail cannot be truncated
  /// for lack of room.
  result<std::optional<quorum::durable_state>> Open();
  /// Renames a damaged file, so that `Open` finds no log.
  result<void> RenameDamaged();
  /// Writes and syncs records. After a failure, with kDiskFull for lack of
  /// room, none of them counts as written, and the call may be repeated.
  result<void> Write(const std::vector<quorum::storage_record>& records);

 private:
  result<void> Append(const std::string& bytes);
  result<void> Rewrite(const std::string& bytes);
  result<void> Truncate(std::uint64_t length);

  std::string folder_;
  std::string path_;
  int file_ = -1;
  /// Length of the part of the file that is known to be on disk.
  std::uint64_t synced_ = 0;
};

}  // namespace burdocklock::storage
