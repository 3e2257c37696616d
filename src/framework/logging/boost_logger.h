// Logger that writes JSON lines through Boost.Log's asynchronous sink.
#pragma once

#include <memory>
#include <string>

#include "framework/logging/i_logger.h"

namespace burdocklock {

struct boost_logger_options {
  /// Log file, opened for appending; empty for standard error, "stdout" for
  /// standard output.
  std::string path;
  log_level min_level = log_level::kInfo;
  /// Value of the "daemon" field of each line; the field is omitted if empty.
  std::string daemon;
};

class boost_logger : public i_logger {
 public:
  explicit boost_logger(boost_logger_options options);
  /// Flushes buffered records.
  ~boost_logger() override;

  void Log(const log_record& record) override;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// Formats the record as one JSON object without line breaks.
std::string FormatLogLine(const log_record& record,
                          const std::string& daemon,
                          std::string_view timestamp);

}  // namespace burdocklock
