// See the header.
#include "storage/state_writer.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace burdocklock::storage {

namespace {

constexpr std::chrono::seconds kRetryDelay{1};

}  // namespace

struct state_writer::state {
  state(state_file file, disk_observer on_disk_state)
      : file(std::move(file)), on_disk_state(std::move(on_disk_state)) {}

  void Run();
  /// Returns whether the value was written.
  bool Write(const value_source& value);

  const state_file file;
  const disk_observer on_disk_state;
  std::mutex mutex;
  std::condition_variable condition;
  // Guarded by `mutex`.
  value_source newest;
  bool stopping = false;
  // Accessed only on the writer's thread.
  bool failing = false;
  std::thread thread;
};

state_writer::state_writer(state_file file, disk_observer on_disk_state)
    : state_(
          std::make_unique<state>(std::move(file), std::move(on_disk_state))) {
  state_->thread = std::thread([state = state_.get()] { state->Run(); });
}

state_writer::~state_writer() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
  }
  state_->condition.notify_all();
  state_->thread.join();
}

void state_writer::Submit(value_source value) {
  {
    const std::lock_guard lock(state_->mutex);
    state_->newest = std::move(value);
  }
  state_->condition.notify_all();
}

void state_writer::state::Run() {
  std::unique_lock lock(mutex);
  while (true) {
    condition.wait(lock, [this] { return stopping || newest; });
    if (stopping) {
      return;
    }
    const value_source value = std::exchange(newest, nullptr);
    lock.unlock();
    const bool written = Write(value);
    lock.lock();
    if (written) {
      continue;
    }
    if (!newest) {
      newest = value;
    }
    condition.wait_for(lock, kRetryDelay, [this] { return stopping; });
  }
}

bool state_writer::state::Write(const value_source& value) {
  const result<void> written = file.Write(value());
  const bool fails = !written.has_value();
  if (std::exchange(failing, fails) != fails) {
    on_disk_state(written);
  }
  return !fails;
}

}  // namespace burdocklock::storage
