// The file that holds a member's part of the replicated log.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "framework/types/error.h"
#include "quorum/types/storage_record.h"

namespace burdocklock::storage {

/// All members block on the disk.
///
/// Invariant: the file begins with a rewrite record; what `Write` has reported
/// as done survives a loss of power.
class log_file {
 public:
  explicit log_file(std::string folder);
  ~log_file();
  log_file(const log_file&) = delete;
  log_file& operator=(const log_file&) = delete;

  /// Reads what the folder holds; nullopt if there is nothing. Cuts a tail that
  /// was torn. Fails with kMalformed if the file is damaged otherwise.
  result<std::optional<quorum::durable_state>> Open();
  /// Puts a damaged file aside, so that `Open` finds nothing.
  result<void> SetAside();
  /// Writes and syncs records. After a failure nothing of them counts and the
  /// call may be repeated.
  result<void> Write(const std::vector<quorum::storage_record>& records);

 private:
  result<void> Append(const std::string& bytes);
  result<void> Rewrite(const std::string& bytes);
  result<void> SyncFolder();
  result<void> Cut(std::uint64_t length);
  [[nodiscard]] error Failure(const char* step) const;

  std::string folder_;
  std::string path_;
  int file_ = -1;
  /// Length of the part that is on disk.
  std::uint64_t synced_ = 0;
};

}  // namespace burdocklock::storage
