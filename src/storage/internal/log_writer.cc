// The thread that writes queued log records in batches, retries failed writes
// and reports changes of the disk's state.
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
  void WriteWithRetries(const std::vector<quorum::storage_record>& records);
  void ReportDiskState(const result<void>& written);

  std::unique_ptr<log_file> file;
  log_writer_handlers handlers;
  std::mutex mutex;
  std::condition_variable condition;
  // Guarded by `mutex`.
  std::vector<quorum::storage_record> pending_records;
  quorum::batch_number last_batch;
  bool stopping = false;
  // Accessed only on the writer's thread.
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
  state_->condition.notify_all();
  state_->thread.join();
}

void log_writer::Submit(quorum::batch_number batch,
                        std::vector<quorum::storage_record> records) {
  {
    const std::lock_guard lock(state_->mutex);
    std::move(records.begin(), records.end(),
              std::back_inserter(state_->pending_records));
    state_->last_batch = batch;
  }
  state_->condition.notify_all();
}

void log_writer::state::Run() {
  std::unique_lock lock(mutex);
  while (true) {
    condition.wait(lock,
                   [this] { return stopping || !pending_records.empty(); });
    if (stopping) {
      return;
    }
    const std::vector<quorum::storage_record> records =
        std::exchange(pending_records, {});
    const quorum::batch_number batch = last_batch;
    lock.unlock();
    WriteWithRetries(records);
    lock.lock();
    if (stopping) {
      return;
    }
    lock.unlock();
    handlers.on_durable(batch);
    lock.lock();
  }
}

void log_writer::state::WriteWithRetries(
    const std::vector<quorum::storage_record>& records) {
  while (true) {
    const result<void> written = file->Write(records);
    ReportDiskState(written);
    if (written) {
      return;
    }
    std::unique_lock lock(mutex);
    if (condition.wait_for(lock, kRetryDelay, [this] { return stopping; })) {
      return;
    }
  }
}

void log_writer::state::ReportDiskState(const result<void>& written) {
  const bool fails = !written.has_value();
  if (fails != failing) {
    failing = fails;
    handlers.on_disk_state(written);
  }
}

}  // namespace burdocklock::storage
