// Queue of ready fibers; the io_context runs while the queue is empty.
#include "framework/fiber/internal/asio_scheduler.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace burdocklock {

namespace {

using std::chrono::steady_clock;

thread_local asio_scheduler* current_scheduler = nullptr;

}  // namespace

asio_scheduler::asio_scheduler(boost::asio::io_context& context,
                               turn_observer on_turn)
    : context_(context),
      work_(context.get_executor()),
      on_turn_(std::move(on_turn)) {
  current_scheduler = this;
}

asio_scheduler::~asio_scheduler() {
  if (current_scheduler == this) {
    current_scheduler = nullptr;
  }
}

asio_scheduler& asio_scheduler::Current() {
  return *current_scheduler;
}

void asio_scheduler::awakened(boost::fibers::context* fiber) noexcept {
  fiber->ready_link(ready_);
}

boost::fibers::context* asio_scheduler::pick_next() noexcept {
  const bool turn_begins = std::exchange(turn_begins_, false);
  if (yielded_ != nullptr &&
      (turn_begins || steady_clock::now() >= yielded_until_)) {
    boost::fibers::context* next = std::exchange(yielded_, nullptr);
    stack_switch_.Announce(*next);
    return next;
  }
  if (ready_.empty()) {
    return nullptr;
  }
  boost::fibers::context* next = &ready_.front();
  ready_.pop_front();
  stack_switch_.Announce(*next);
  return next;
}

bool asio_scheduler::has_ready_fibers() const noexcept {
  return !ready_.empty();
}

void asio_scheduler::suspend_until(
    const steady_clock::time_point& deadline) noexcept {
  const time_point started = std::exchange(turn_started_, time_point{});
  if (on_turn_ && started != time_point{}) {
    const time_point now = steady_clock::now();
    on_turn_(now - started, now);
  }
  if (deadline == steady_clock::time_point::max()) {
    context_.run_one();
  } else {
    context_.run_one_until(deadline);
  }
  turn_started_ = steady_clock::now();
  turn_begins_ = true;
  // Runs all other ready handlers, so that one wait can resume several fibers.
  context_.poll();
}

duration asio_scheduler::TurnTime() const {
  return turn_started_ == time_point{} ? duration::zero()
                                       : steady_clock::now() - turn_started_;
}

void asio_scheduler::YieldInTurn(std::optional<duration> time) {
  if (yielded_ != nullptr) {
    awakened(yielded_);
  }
  yielded_until_ = time ? steady_clock::now() + *time : time_point::max();
  yielded_ = boost::fibers::context::active();
  yielded_->suspend();
}

void asio_scheduler::notify() noexcept {
  boost::asio::post(context_, [] {});
}

}  // namespace burdocklock
