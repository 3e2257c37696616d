// See the header.
#include "gateway/traffic_service.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <utility>

#include "gateway/caller_handler.h"
#include "gateway/internal/openai_dialect.h"
#include "gateway/internal/traffic_use.h"
#include "gateway/routed_handler.h"

namespace burdocklock::gateway {

namespace {

net::http_limits DefaultLimits(const gateway_options& options) {
  return {.max_header_bytes = options.max_header_bytes,
          .max_body_bytes = options.max_body_bytes,
          .idle_timeout = options.caller_idle,
          .read_timeout = options.caller_read};
}

// The limits of the current configuration; the defaults if there is none.
net::http_limits CurrentLimits(const gateway_options& options,
                               const i_control& control) {
  const auto routes = control.Routes();
  if (!routes) {
    return DefaultLimits(options);
  }
  const routes::caller_limits& limits = routes->contents().limits;
  return {.max_header_bytes = limits.max_header_bytes,
          .max_body_bytes = limits.max_body_bytes,
          .idle_timeout = limits.idle_timeout,
          .read_timeout = limits.read_timeout};
}

}  // namespace

struct traffic_service::state {
  state(boost::asio::io_context& io,
        gateway_options opts,
        i_control& control,
        const i_call_dialect* call_dialect,
        traffic_state& shared)
      : options(std::move(opts)),
        shared(shared),
        intake({.memory_bytes = options.memory_bytes,
                .descriptors = options.descriptors,
                // Rounded up: all threads together have the setting.
                .max_connections =
                    (options.max_connections + options.threads - 1) /
                    options.threads},
               options.phase),
        budget(options.max_held_bytes),
        idle_connections(io, options.target_idle),
        progress(io, control),
        refusals(io, control),
        context{
            .io = io,
            .control = control,
            .dialect = call_dialect != nullptr
                           ? static_cast<const i_target_dialect&>(*call_dialect)
                           : openai,
            .idle_connections = idle_connections,
            .progress = progress,
            .refusals = refusals,
            .guard = guard,
            .intake = intake,
            .shared = shared,
            .budget = budget,
            .max_answer_bytes = options.max_answer_bytes,
            .threads = options.threads},
        handler(MakeHandler(call_dialect)),
        server(
            io,
            {.listen = options.listen,
             .share_port = options.share_port,
             .limits = DefaultLimits(options),
             .current_limits =
                 [this, &control] { return CurrentLimits(options, control); },
             .write_timeout = options.caller_write,
             .max_connections = options.max_connections,
             .current_max_connections =
                 [this] { return intake.max_connections() * options.threads; },
             .turns_away = TurnsAway(),
             .counters = &shared.callers,
             .budget = &budget,
             .on_crossed =
                 [&control](const net::crossed_close& crossed) {
                   control.ReportCrossedClose(crossed);
                 },
             .on_failed =
                 [&control](const std::string& cause) {
                   control.ReportFailedConnection(cause);
                 }},
            *handler) {}

  // Not set if callers are never turned away.
  std::function<bool()> TurnsAway() {
    return intake.limited() ? [this] { return intake.TurnsAway(context.Use()); }
                            : std::function<bool()>();
  }

  void PublishGuard() {
    const double limit = guard.limit();
    const std::int64_t limit_now =
        limit == admission::kNoLimit ? 0 : std::llround(limit);
    const std::int64_t in_progress_now = std::llround(guard.in_progress());
    shared.admission_limit +=
        limit_now - std::exchange(admission_limit, limit_now);
    shared.in_progress +=
        in_progress_now - std::exchange(in_progress, in_progress_now);
  }

  void UpdateIntake(duration busy, duration caller_wait, time_point now) {
    intake.OnTurn(busy, now);
    intake.OnCallerWait(caller_wait);
    if (!intake.limited() || now < next_use) {
      return;
    }
    next_use = now + admission::caller_intake::kUsePeriod;
    const admission::router_use use = MeasureUse(context, heap);
    intake.OnUse(use, now);
    if (crowded == intake.TakesCallers()) {
      crowded = !crowded;
      shared.crowded_threads += crowded ? 1 : -1;
    }
    const auto publish = [](std::atomic<std::int64_t>& sum, std::int64_t& own,
                            std::int64_t value) {
      sum += value - std::exchange(own, value);
    };
    publish(shared.max_connections, max_connections, intake.max_connections());
    publish(shared.max_calls, max_calls, intake.MaxCalls(use));
    publish(shared.memory_bytes, memory_bytes,
            static_cast<std::int64_t>(intake.MemoryOf(use)));
    shared.moved += intake.moved() - std::exchange(moved, intake.moved());
  }

  std::unique_ptr<net::i_http_handler> MakeHandler(
      const i_call_dialect* call_dialect) {
    if (call_dialect != nullptr) {
      return std::make_unique<routed_handler>(context, *call_dialect);
    }
    return std::make_unique<caller_handler>(context, options);
  }

  gateway_options options;
  traffic_state& shared;
  admission::processor_guard guard;
  admission::caller_intake intake;
  /// Whether this thread is counted as crowded.
  bool crowded = false;
  time_point next_use{};
  heap_meter heap;
  net::byte_budget budget;
  /// Whether this thread is counted as overloaded.
  bool overloaded = false;
  /// This thread's parts of the shared sums.
  std::int64_t in_progress = 0;
  std::int64_t admission_limit = 0;
  std::int64_t max_connections = 0;
  std::int64_t max_calls = 0;
  std::int64_t memory_bytes = 0;
  std::uint64_t moved = 0;
  openai_dialect openai;
  target_connections idle_connections;
  progress_reporter progress;
  refusal_reporter refusals;
  traffic_context context;
  std::unique_ptr<net::i_http_handler> handler;
  net::http_server server;
};

traffic_service::traffic_service(boost::asio::io_context& io,
                                 gateway_options options,
                                 i_control& control,
                                 const i_call_dialect* dialect,
                                 traffic_state& shared)
    : state_(std::make_unique<state>(io,
                                     std::move(options),
                                     control,
                                     dialect,
                                     shared)) {}

traffic_service::~traffic_service() = default;

void traffic_service::OnTurn(duration busy, time_point now) {
  const duration caller_wait = state_->server.TakeLongestWait();
  state_->guard.OnCallerWait(caller_wait);
  state_->guard.OnTurn(busy, now);
  state_->UpdateIntake(busy, caller_wait, now);
  if (state_->overloaded != state_->guard.IsHeavilyOverloaded()) {
    state_->overloaded = !state_->overloaded;
    state_->shared.overloaded_threads += state_->overloaded ? 1 : -1;
  }
  state_->PublishGuard();
}

bool traffic_service::TakesCallers() const {
  return !state_->overloaded && !state_->crowded;
}

result<endpoint> traffic_service::Start() {
  return state_->server.Start();
}

void traffic_service::CloseIdle() {
  state_->server.CloseIdle();
}

void traffic_service::Stop() {
  state_->server.Stop();
}

}  // namespace burdocklock::gateway
