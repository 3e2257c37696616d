// See the header.
#include "storage/log_writer.h"

#include <chrono>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>
#include <utility>

#include <boost/outcome/success_failure.hpp>

namespace burdocklock::storage {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{100};

}  // namespace

struct log_writer::state {
  void Run();
  void WriteUntilDone(const std::vector<quorum::storage_record>& records);
  void ReportDisk(const result<void>& written);

  std::unique_ptr<log_file> file;
  log_writer_handlers handlers;
  std::mutex mutex;
  std::condition_variable changed;
  // Guarded by `mutex`.
  std::vector<quorum::storage_record> waiting;
  quorum::batch_number last_waiting;
  bool stopping = false;
  // Used by the writer's thread only.
  bool failing = false;
  std::thread thread;
};

log_writer::log_writer(std::unique_ptr<log_file> file,
                       log_writer_handlers handlers)
    : state_(std::make_unique<state>()) {
  state_->file = std::move(file);
  state_->handlers = std::move(handlers);
  state_->thread = std::thread([state = state_.get()] { state->Run(); });
}

log_writer::~log_writer() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
  }
  state_->changed.notify_all();
  state_->thread.join();
}

void log_writer::Submit(quorum::batch_number batch,
                        std::vector<quorum::storage_record> records) {
  {
    const std::lock_guard lock(state_->mutex);
    std::move(records.begin(), records.end(),
              std::back_inserter(state_->waiting));
    state_->last_waiting = batch;
  }
  state_->changed.notify_all();
}

void log_writer::state::Run() {
  std::unique_lock lock(mutex);
  while (true) {
    changed.wait(lock, [this] { return stopping || !waiting.empty(); });
    if (stopping) {
      return;
    }
    const std::vector<quorum::storage_record> records =
        std::exchange(waiting, {});
    const quorum::batch_number batch = last_waiting;
    lock.unlock();
    WriteUntilDone(records);
    lock.lock();
    if (stopping) {
      return;
    }
    lock.unlock();
    handlers.on_durable(batch);
    lock.lock();
  }
}

void log_writer::state::WriteUntilDone(
    const std::vector<quorum::storage_record>& records) {
  while (true) {
    const result<void> written = file->Write(records);
    ReportDisk(written);
    if (written) {
      return;
    }
    std::unique_lock lock(mutex);
    if (changed.wait_for(lock, kRetryDelay, [this] { return stopping; })) {
      return;
    }
  }
}

void log_writer::state::ReportDisk(const result<void>& written) {
  const bool fails = !written.has_value();
  if (fails != failing) {
    failing = fails;
    handlers.on_disk_state(written);
  }
}

}  // namespace burdocklock::storage
