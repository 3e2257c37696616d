// See the header.
#include "gateway/traffic_thread.h"

#include <future>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>

#include "framework/fiber/fiber_thread.h"
#include "framework/fiber/use_fiber.h"
#include "gateway/traffic_service.h"

namespace burdocklock::gateway {

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

  gateway_options options;
  i_control& control;
  const i_call_dialect* dialect;
  traffic_state& shared;
  boost::asio::io_context io{1};
  // Set while the thread is serving; accessed only from that thread.
  traffic_service* service = nullptr;
  fiber_event stop;
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
      [&own_service](duration busy, time_point now) {
        own_service.OnTurn(busy, now);
      });
  service = nullptr;
}

}  // namespace burdocklock::gateway
