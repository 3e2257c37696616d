// Writes a state file on a separate thread, so that a slow disk does not block
// the caller.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "framework/types/error.h"
#include "storage/state_file.h"

namespace burdocklock::storage {

/// Writes one value at a time, always the newest; those that come meanwhile
/// replace one another. A write that fails is retried, with the newest value,
/// until it succeeds or the writer is destroyed.
class state_writer {
 public:
  /// Makes the value; called on the writer's thread.
  using value_source = std::function<std::string()>;
  /// Writes have started to fail, or succeed again (no error). Called on the
  /// writer's thread when this changes.
  using disk_observer = std::function<void(const result<void>& state)>;

  state_writer(state_file file, disk_observer on_disk_state);
  /// Waits for the write in progress; a value that waits is not written.
  ~state_writer();

  void Submit(value_source value);

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace burdocklock::storage
