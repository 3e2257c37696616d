// Asio completion token that suspends the calling fiber until the operation
// completes. Handlers run on the fiber's own thread (asio_scheduler.h), so
// no locks are needed.
#pragma once

#include <tuple>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace burdocklock {

struct use_fiber_t {};
inline constexpr use_fiber_t use_fiber;

/// Result of an asynchronous operation that yields a value.
template <typename T>
struct io_result {
  boost::system::error_code ec;
  T value{};
};

/// Suspends a fiber until another fiber or handler of the same thread wakes
/// it. At most one fiber waits at a time.
class fiber_event {
 public:
  void Wait() {
    while (!set_) {
      waiter_ = boost::fibers::context::active();
      waiter_->suspend();
    }
    set_ = false;
    waiter_ = nullptr;
  }

  void Set() {
    set_ = true;
    if (waiter_ != nullptr) {
      boost::fibers::context* waiter = std::exchange(waiter_, nullptr);
      boost::fibers::context::active()->schedule(waiter);
    }
  }

 private:
  bool set_ = false;
  boost::fibers::context* waiter_ = nullptr;
};

namespace fiber_detail {

template <typename... Args>
struct completion {
  fiber_event done;
  boost::system::error_code ec;
  std::tuple<Args...> values;
};

template <typename... Args>
struct handler {
  completion<Args...>* target;

  void operator()(boost::system::error_code ec, Args... args) const {
    target->ec = ec;
    target->values = std::tuple<Args...>(std::move(args)...);
    target->done.Set();
  }
};

}  // namespace fiber_detail
}  // namespace burdocklock

namespace boost::asio {

template <>
class async_result<burdocklock::use_fiber_t, void(boost::system::error_code)> {
 public:
  using return_type = boost::system::error_code;

  template <typename Initiation, typename Token, typename... InitArgs>
  static return_type initiate(Initiation&& initiation,
                              Token&&,
                              InitArgs&&... args) {
    burdocklock::fiber_detail::completion<> state;
    std::forward<Initiation>(initiation)(
        burdocklock::fiber_detail::handler<>{&state},
        std::forward<InitArgs>(args)...);
    state.done.Wait();
    return state.ec;
  }
};

template <typename T>
class async_result<burdocklock::use_fiber_t,
                   void(boost::system::error_code, T)> {
 public:
  using return_type = burdocklock::io_result<T>;

  template <typename Initiation, typename Token, typename... InitArgs>
  static return_type initiate(Initiation&& initiation,
                              Token&&,
                              InitArgs&&... args) {
    burdocklock::fiber_detail::completion<T> state;
    std::forward<Initiation>(initiation)(
        burdocklock::fiber_detail::handler<T>{&state},
        std::forward<InitArgs>(args)...);
    state.done.Wait();
    return {state.ec, std::move(std::get<0>(state.values))};
  }
};

}  // namespace boost::asio
