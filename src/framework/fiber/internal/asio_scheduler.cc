// Queue of ready fibers; the io_context runs while the queue is empty.
#include "framework/fiber/internal/asio_scheduler.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace burdocklock {

asio_scheduler::asio_scheduler(boost::asio::io_context& context,
                               turn_observer on_turn)
    : context_(context),
      work_(context.get_executor()),
      on_turn_(std::move(on_turn)) {}

void asio_scheduler::awakened(boost::fibers::context* fiber) noexcept {
  fiber->ready_link(ready_);
}

boost::fibers::context* asio_scheduler::pick_next() noexcept {
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
    const std::chrono::steady_clock::time_point& deadline) noexcept {
  if (on_turn_ && turn_started_ != std::chrono::steady_clock::time_point{}) {
    const auto now = std::chrono::steady_clock::now();
    on_turn_(now - turn_started_, now);
  }
  if (deadline == std::chrono::steady_clock::time_point::max()) {
    context_.run_one();
  } else {
    context_.run_one_until(deadline);
  }
  if (on_turn_) {
    turn_started_ = std::chrono::steady_clock::now();
  }
  // Runs all other ready handlers, so that one wait can resume several fibers.
  context_.poll();
}

void asio_scheduler::notify() noexcept {
  boost::asio::post(context_, [] {});
}

}  // namespace burdocklock
