// Formats log records as JSON lines and writes them with an asynchronous
// Boost.Log sink.
#include "framework/logging/boost_logger.h"

#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

namespace burdocklock {

namespace {

using log_backend = boost::log::sinks::text_ostream_backend;
// When the queue of the sink is full, new lines are dropped, so that logging
// never blocks and its memory use is bounded.
constexpr std::size_t kMaxQueuedLines = 8192;
using log_sink = boost::log::sinks::asynchronous_sink<
    log_backend,
    boost::log::sinks::bounded_fifo_queue<kMaxQueuedLines,
                                          boost::log::sinks::drop_on_overflow>>;

constexpr std::string_view kStandardOutput = "stdout";

const char* LevelName(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "error";
}

std::string UtcTimestamp() {
  const auto now = std::chrono::system_clock::now();
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          now.time_since_epoch())
                          .count();
  const std::time_t seconds = micros / 1'000'000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[40];
  const std::size_t length =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  std::snprintf(text + length, sizeof(text) - length, ".%06dZ",
                static_cast<int>(micros % 1'000'000));
  return text;
}

}  // namespace

std::string FormatLogLine(const log_record& record,
                          const std::string& daemon,
                          std::string_view timestamp) {
  nlohmann::ordered_json line;
  line["time"] = timestamp;
  line["level"] = LevelName(record.level());
  line["event"] = record.event();
  if (!daemon.empty()) {
    line["daemon"] = daemon;
  }
  for (const auto& [key, value] : record.fields()) {
    std::visit([&line, &key = key](const auto& v) { line[key] = v; }, value);
  }
  // Replaces invalid UTF-8: an exception here would terminate the process.
  return line.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

struct boost_logger::state {
  boost_logger_options options;
  boost::shared_ptr<log_sink> sink;
  boost::log::sources::logger_mt source;
};

boost_logger::boost_logger(boost_logger_options options)
    : state_(std::make_unique<state>()) {
  state_->options = std::move(options);
  auto backend = boost::make_shared<log_backend>();
  if (state_->options.path == kStandardOutput) {
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
  } else if (state_->options.path.empty()) {
    backend->add_stream(
        boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
  } else {
    backend->add_stream(
        boost::make_shared<std::ofstream>(state_->options.path, std::ios::app));
  }
  backend->auto_flush(true);
  state_->sink = boost::make_shared<log_sink>(backend);
  state_->sink->set_formatter(boost::log::expressions::stream
                              << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(state_->sink);
}

boost_logger::~boost_logger() {
  boost::log::core::get()->remove_sink(state_->sink);
  state_->sink->stop();
  state_->sink->flush();
}

void boost_logger::Log(const log_record& record) {
  if (record.level() < state_->options.min_level) {
    return;
  }
  BOOST_LOG(state_->source)
      << FormatLogLine(record, state_->options.daemon, UtcTimestamp());
}

}  // namespace burdocklock
