// Opens the durable log of a control host at startup.
#pragma once

#include <cstdint>
#include <memory>

#include "config/types/settings.h"
#include "framework/logging/i_logger.h"
#include "framework/types/error.h"
#include "quorum/types/storage_record.h"
#include "storage/log_file.h"

namespace burdocklock::app {

struct control_log {
  std::unique_ptr<storage::log_file> file;
  quorum::durable_state state;
};

/// Opens the log in the data folder named in the settings. If there is none, or
/// if it is damaged, the host starts with the state of a new member, which is
/// durable when this returns; `random` distinguishes that member from earlier
/// ones at the same address. Waits while the disk is full. Fails if the folder
/// cannot be read or written.
result<control_log> OpenControlLog(const config::settings& settings,
                                   std::uint32_t random,
                                   i_logger& logger);

}  // namespace burdocklock::app
