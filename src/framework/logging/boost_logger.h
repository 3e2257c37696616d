// Log adapter: JSON lines through Boost.Log's asynchronous sink.
#pragma once

#include <memory>
#include <string>

#include "framework/logging/i_logger.h"

namespace burdocklock {

struct boost_logger_options {
  /// File to append to; standard error if empty, standard output if "stdout".
  std::string path;
  log_level min_level = log_level::kInfo;
  /// Value of the "daemon" field of each line; left out if empty.
  std::string daemon;
};

class boost_logger : public i_logger {
 public:
  explicit boost_logger(boost_logger_options options);
  /// Writes what is buffered before it returns.
  ~boost_logger() override;

  void Log(const log_record& record) override;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

/// The record as one JSON object without a line break.
std::string FormatLogLine(const log_record& record,
                          const std::string& daemon,
                          std::string_view timestamp);

}  // namespace burdocklock
