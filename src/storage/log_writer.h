// Writes the log on a thread of its own, so that a slow disk holds up nothing
// else.
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
  /// All batches up to this one are on disk. Called on the writer's thread.
  std::function<void(quorum::batch_number batch)> on_durable;
  /// The disk has begun to fail, or works again (no error). Called on the
  /// writer's thread.
  std::function<void(const result<void>& state)> on_disk_state;
};

/// Batches that wait are written with one sync. A batch that fails is repeated
/// until it succeeds or the writer ends.
class log_writer {
 public:
  log_writer(std::unique_ptr<log_file> file, log_writer_handlers handlers);
  /// Ends after the write in progress; what waits is not written.
  ~log_writer();

  void Submit(quorum::batch_number batch,
              std::vector<quorum::storage_record> records);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::storage
