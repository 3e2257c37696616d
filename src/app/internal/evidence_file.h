// Keeps a control host's evidence of requests that end targets on its disk.
#pragma once

#include <string>

#include "crashes/types/evidence.h"
#include "framework/logging/i_logger.h"
#include "storage/state_writer.h"

namespace burdocklock::app {

/// Nothing waits for its writes, and what cannot be read or written is logged
/// and done without.
class evidence_file {
 public:
  evidence_file(const std::string& folder, i_logger& logger);

  /// What was stored before this start; blocks on the disk.
  [[nodiscard]] crashes::evidence Load() const;
  /// Replaces what is stored, soon.
  void Store(crashes::evidence known);

 private:
  i_logger& logger_;
  storage::state_file file_;
  storage::state_writer writer_;
};

}  // namespace burdocklock::app
