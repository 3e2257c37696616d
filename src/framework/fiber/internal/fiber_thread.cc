// Starts detached fibers and counts them, so that the thread can wait for all
// of them to finish.
#include "framework/fiber/fiber_thread.h"

#include <utility>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include "framework/fiber/internal/asio_scheduler.h"
#include "framework/fiber/internal/fiber_stack.h"

namespace burdocklock {

namespace {

// Number of detached fibers of one thread; RunFiberThread waits until it is 0.
struct fiber_count {
  std::size_t running = 0;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable all_finished;
};

thread_local fiber_count* current_count = nullptr;

}  // namespace

void RunFiberThread(boost::asio::io_context& context,
                    const std::function<void()>& main,
                    turn_observer on_turn) {
  boost::fibers::use_scheduling_algorithm<asio_scheduler>(context,
                                                          std::move(on_turn));
  fiber_count count;
  current_count = &count;
  const fiber_stack_pool stacks;
  main();
  std::unique_lock lock(count.mutex);
  count.all_finished.wait(lock, [&count] { return count.running == 0; });
}

duration TurnTime() {
  return asio_scheduler::Current().TurnTime();
}

void YieldInTurn(std::optional<duration> time) {
  asio_scheduler::Current().YieldInTurn(time);
}

void SpawnFiber(std::function<void()> body) {
  fiber_count* count = current_count;
  ++count->running;
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       fiber_stack(),
                       [count, body = std::move(body)] {
                         body();
                         if (--count->running == 0) {
                           count->all_finished.notify_all();
                         }
                       })
      .detach();
}

}  // namespace burdocklock
