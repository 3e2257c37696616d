// Boost.Fiber scheduling algorithm that runs the io_context while no fiber is
// ready.
#pragma once

#include <chrono>
#include <functional>
#include <optional>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/internal/fiber_stack.h"

namespace burdocklock {

/// Round-robin scheduling of the ready fibers. Completion handlers run only
/// while no fiber is ready, on the stack of the dispatcher fiber, so they never
/// run concurrently with a fiber of the same thread.
class asio_scheduler : public boost::fibers::algo::algorithm {
 public:
  /// `on_turn` may be empty.
  asio_scheduler(boost::asio::io_context& context, turn_observer on_turn);
  ~asio_scheduler() override;
  asio_scheduler(const asio_scheduler&) = delete;
  asio_scheduler& operator=(const asio_scheduler&) = delete;

  void awakened(boost::fibers::context* fiber) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  [[nodiscard]] bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& deadline) noexcept override;
  void notify() noexcept override;

  /// See fiber_thread.h.
  [[nodiscard]] duration TurnTime() const;
  void YieldInTurn(std::optional<duration> time);
  /// That of the calling thread.
  static asio_scheduler& Current();

 private:
  boost::asio::io_context& context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  boost::fibers::scheduler::ready_queue_type ready_;
  /// The fiber in `YieldInTurn`, which goes on at that time or as the next turn
  /// begins; nullptr if there is none.
  boost::fibers::context* yielded_ = nullptr;
  time_point yielded_until_{};
  bool turn_begins_ = false;
  turn_observer on_turn_;
  stack_switch stack_switch_;
  /// When the thread last stopped waiting; default while it waits.
  std::chrono::steady_clock::time_point turn_started_{};
};

}  // namespace burdocklock
