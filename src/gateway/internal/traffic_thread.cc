// See the header.
#include "gateway/traffic_thread.h"

#include <chrono>
#include <future>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "gateway/traffic_service.h"

namespace burdocklock::gateway {

namespace {

// Longest time between two turns of a thread that takes no new callers: without
// connections nothing else would let it find that it can take them again.
constexpr std::chrono::milliseconds kTurnInterval{100};

}  // namespace

struct traffic_thread::state {
  state(gateway_options options,
        i_control& control,
        const i_call_dialect* dialect,
        traffic_state& shared)
      : options(std::move(options)),
        control(control),
        dialect(dialect),
        shared(shared) {}

  void Run(std::promise<result<endpoint>>& started);
  // Has the event loop turn once more soon.
  void ScheduleTurn();

  gateway_options options;
  i_control& control;
  const i_call_dialect* dialect;
  traffic_state& shared;
  boost::asio::io_context io{1};
  // Set while the thread is serving; accessed only from that thread.
  traffic_service* service = nullptr;
  fiber_event stop;
  boost::asio::steady_timer turn_timer{io};
  bool turn_scheduled = false;
  std::thread thread;
};

traffic_thread::traffic_thread(gateway_options options,
                               i_control& control,
                               const i_call_dialect* dialect,
                               traffic_state& shared)
    : state_(std::make_unique<state>(std::move(options),
                                     control,
                                     dialect,
                                     shared)) {}

traffic_thread::~traffic_thread() {
  Join();
}

result<endpoint> traffic_thread::Start() {
  std::promise<result<endpoint>> started;
  std::future<result<endpoint>> bound = started.get_future();
  state_->thread = std::thread([this, &started] { state_->Run(started); });
  return bound.get();
}

void traffic_thread::CloseIdle() {
  boost::asio::post(state_->io, [state = state_.get()] {
    if (state->service != nullptr) {
      state->service->CloseIdle();
    }
  });
}

void traffic_thread::Stop() {
  boost::asio::post(state_->io, [state = state_.get()] { state->stop.Set(); });
}

void traffic_thread::Join() {
  if (state_->thread.joinable()) {
    state_->thread.join();
  }
}

void traffic_thread::state::Run(std::promise<result<endpoint>>& started) {
  traffic_service own_service(io, options, control, dialect, shared);
  service = &own_service;
  RunFiberThread(
      io,
      [&] {
        result<endpoint> bound = own_service.Start();
        const bool listening = bound.has_value();
        started.set_value(std::move(bound));
        if (!listening) {
          return;
        }
        stop.Wait();
        own_service.Stop();
      },
      [this, &own_service](duration busy, time_point now) {
        own_service.OnTurn(busy, now);
        if (!own_service.TakesCallers()) {
          ScheduleTurn();
        }
      });
  service = nullptr;
}

void traffic_thread::state::ScheduleTurn() {
  if (turn_scheduled) {
    return;
  }
  turn_scheduled = true;
  turn_timer.expires_after(kTurnInterval);
  turn_timer.async_wait(
      [this](const boost::system::error_code&) { turn_scheduled = false; });
}

}  // namespace burdocklock::gateway
