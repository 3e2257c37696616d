// Formats log records as JSON lines and queues them in a Boost.Log sink, which
// a thread of the logger empties: all lines of a short time are written at
// once.
#include "framework/logging/boost_logger.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

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

#include "framework/codec/json_writer.h"

namespace burdocklock {

namespace {

using log_backend = boost::log::sinks::text_ostream_backend;
// When the queue of the sink is full, new lines are dropped, so that logging
// never blocks and its memory use is bounded.
constexpr std::size_t kMaxQueuedLines = 8192;
// Lines wait for others for this long: a write and a wake-up of the thread for
// each would cost more than formatting it.
constexpr std::chrono::milliseconds kWriteDelay{20};
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
  json_object_writer line;
  line.Add("time", timestamp);
  line.Add("level", LevelName(record.level()));
  line.Add("event", record.event());
  if (!daemon.empty()) {
    line.Add("daemon", daemon);
  }
  for (const auto& [key, value] : record.fields()) {
    std::visit([&line, &key = key](const auto& v) { line.Add(key, v); }, value);
  }
  return line.Take();
}

struct boost_logger::state {
  // Writes queued lines until `Stop`. Sleeps while there are none.
  void WriteLines();
  // Has the lines written within `kWriteDelay`.
  void Wake();
  void Stop();

  boost_logger_options options;
  boost::shared_ptr<log_sink> sink;
  boost::log::sources::logger_mt source;
  std::atomic<bool> has_lines{false};
  std::mutex mutex;
  std::condition_variable changed;
  /// Guarded by `mutex`.
  bool stopping = false;
  std::thread writer;
};

void boost_logger::state::WriteLines() {
  std::unique_lock lock(mutex);
  while (!stopping) {
    changed.wait(lock, [this] { return stopping || has_lines; });
    changed.wait_for(lock, kWriteDelay, [this] { return stopping; });
    lock.unlock();
    // Lines queued from here on set it again.
    has_lines = false;
    sink->flush();
    lock.lock();
  }
}

void boost_logger::state::Wake() {
  if (!has_lines.exchange(true)) {
    // The writer must not miss it between its check and its wait.
    { const std::lock_guard lock(mutex); }
    changed.notify_one();
  }
}

void boost_logger::state::Stop() {
  {
    const std::lock_guard lock(mutex);
    stopping = true;
  }
  changed.notify_one();
  writer.join();
  sink->flush();
}

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
  state_->sink = boost::make_shared<log_sink>(backend, /*start_thread=*/false);
  state_->sink->set_formatter(boost::log::expressions::stream
                              << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(state_->sink);
  state_->writer = std::thread([state = state_.get()] { state->WriteLines(); });
}

boost_logger::~boost_logger() {
  boost::log::core::get()->remove_sink(state_->sink);
  state_->Stop();
}

void boost_logger::Log(const log_record& record) {
  if (record.level() < state_->options.min_level) {
    return;
  }
  BOOST_LOG(state_->source)
      << FormatLogLine(record, state_->options.daemon, UtcTimestamp());
  state_->Wake();
}

}  // namespace burdocklock
