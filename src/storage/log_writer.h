// Writes the log on a separate thread, so that a slow disk does not block the
// caller.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "framework/types/error.h"
#include "quorum/raft_node.h"
#include "quorum/types/storage_record.h"
#include "storage/log_file.h"

namespace burdocklock::storage {

struct log_writer_handlers {
  /// All batches up to `batch` are on disk. Called on the writer's thread.
  std::function<void(quorum::batch_number batch)> on_durable;
  /// Writes have started to fail, or succeed again (no error). Called on the
  /// writer's thread when this changes.
  std::function<void(const result<void>& state)> on_disk_state;
};

/// Group commit: all queued batches are written with one sync. A failed write
/// is retried until it succeeds or the writer is destroyed.
class log_writer {
 public:
  log_writer(std::unique_ptr<log_file> file, log_writer_handlers handlers);
  /// Waits for the write in progress; queued batches are not written.
  ~log_writer();

  void Submit(quorum::batch_number batch,
              std::vector<quorum::storage_record> records);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::storage
