// See the header.
#include "app/control_loop.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "app/internal/logged_listener.h"
#include "app/internal/router_options.h"

namespace burdocklock::app {

using std::chrono::steady_clock;

namespace {

std::string NamePrefix(const daemon_id& daemon, incarnation life) {
  char text[24];
  std::snprintf(text, sizeof(text), "%llx",
                static_cast<unsigned long long>(life.value()));
  return daemon.value() + "-" + text + "-";
}

}  // namespace

control_loop::control_loop(boost::asio::io_context& io,
                           const config::settings& settings,
                           std::shared_ptr<const config::sheet_index> sheet,
                           const i_interface_adapter* adapter,
                           incarnation life,
                           i_logger& logger)
    : io_(io),
      settings_(settings),
      sheet_(std::move(sheet)),
      name_prefix_(NamePrefix(settings.daemon, life)),
      logger_(logger),
      queue_wait_(metrics_.Latency("burdocklock_queue_wait_seconds")),
      first_output_(metrics_.Latency("burdocklock_first_output_seconds")),
      token_gap_(metrics_.Latency("burdocklock_between_tokens_seconds")),
      total_time_(metrics_.Latency("burdocklock_request_seconds")),
      random_(static_cast<std::uint32_t>(life.value())),
      started_(steady_clock::now()),
      router_(MakeRouterOptions(settings), random_, *this),
      timer_(io) {
  if (adapter != nullptr) {
    feed_ = std::make_unique<operator_feed>(
        io, settings, adapter->configurations(), router_, logger,
        [this](const operator_feed::event& event) { Process(event); });
  } else {
    node_ = std::make_unique<fleet::fleet_node>(
        MakeFleetOptions(settings, life), router_, random_, *this, started_);
  }
  for (const config::customer& customer : sheet_->contents().customers) {
    router_.SetCustomer(customer.id, {.share = customer.share,
                                      .max_queued = customer.max_queued});
  }
  RegisterMetrics();
}

void control_loop::RegisterMetrics() {
  metrics_.Gauge("burdocklock_requests_waiting", [this] {
    return static_cast<double>(router_.totals().waiting);
  });
  metrics_.Gauge("burdocklock_requests_in_flight", [this] {
    return static_cast<double>(router_.totals().in_flight);
  });
  metrics_.Gauge("burdocklock_pools_standing", [this] {
    return static_cast<double>(
        router_.QueueState(steady_clock::now()).standing_pools);
  });
  metrics_.Gauge("burdocklock_pools_short", [this] {
    return static_cast<double>(
        router_.QueueState(steady_clock::now()).short_pools);
  });
  metrics_.Gauge("burdocklock_begin_wait_longest_seconds", [this] {
    return ToSeconds(router_.QueueState(steady_clock::now()).longest_wait);
  });
  metrics_.Gauge("burdocklock_draining",
                 [this] { return IsDraining() ? 1.0 : 0.0; });
  metrics_.Gauge("burdocklock_retries", [this] {
    return static_cast<double>(router_.totals().retries);
  });
  metrics_.Gauge("burdocklock_retries_denied", [this] {
    return static_cast<double>(router_.totals().retries_denied);
  });
  metrics_.Gauge("burdocklock_full_targets", [this] {
    return static_cast<double>(router_.totals().full_targets);
  });
  metrics_.Gauge("burdocklock_retries_withheld", [this] {
    return static_cast<double>(router_.totals().retries_withheld);
  });
  metrics_.Gauge("burdocklock_blocked_prompt_parts", [this] {
    return static_cast<double>(
        router_.guard().BlockedCount(steady_clock::now()));
  });
}

request_seq control_loop::NextRequest() {
  return request_seq(last_request_.fetch_add(1, std::memory_order_relaxed) + 1);
}

std::string control_loop::RequestName(request_seq request) const {
  return name_prefix_ + std::to_string(request.value());
}

std::string control_loop::RefusalName(refusal_seq refusal) const {
  return name_prefix_ + "r" + std::to_string(refusal.value());
}

std::shared_ptr<const config::sheet_index> control_loop::Sheet() const {
  return sheet_;
}

std::shared_ptr<const routes::route_index> control_loop::Routes() const {
  return feed_ ? feed_->Routes() : nullptr;
}

bool control_loop::IsReady() const {
  return !IsDraining() && (!feed_ || feed_->Routes() != nullptr) &&
         (!takes_callers_ || takes_callers_());
}

std::optional<double> control_loop::DemandOverMean() const {
  return feed_ ? feed_->DemandOverMean() : std::nullopt;
}

void control_loop::SetCallCounter(std::function<std::uint64_t()> arrived_cost) {
  if (feed_) {
    feed_->SetCallCounter(std::move(arrived_cost));
  }
}

void control_loop::SetControlHosts(const std::vector<endpoint>& hosts) {
  if (feed_) {
    feed_->SetControlHosts(hosts);
  }
}

std::string control_loop::LogName(request_seq request) const {
  const auto found = exchanges_.find(request);
  return found == exchanges_.end() || found->second.caller_name.empty()
             ? RequestName(request)
             : found->second.caller_name;
}

bool control_loop::IsDraining() const {
  return draining_.load(std::memory_order_acquire);
}

std::optional<routing::drain_window> control_loop::DrainWindow() const {
  return IsDraining() ? std::optional(drain_window_) : std::nullopt;
}

void control_loop::Post(handler handle) {
  boost::asio::post(io_,
                    [this, handle = std::move(handle)] { Process(handle); });
}

void control_loop::Process(const handler& handle) {
  const time_point now = steady_clock::now();
  NoteSuspension(now);
  routing::effects effects;
  handle(now, effects);
  if (node_) {
    node_->AfterRouterEvent(now, effects);
  } else {
    feed_->AfterRouterEvent(now);
  }
  Perform(effects, now);
  ArmTimer();
}

void control_loop::NoteSuspension(time_point now) {
  const duration time = suspension_.OnRun(timer_at_, now);
  if (time == duration::zero()) {
    return;
  }
  logger_.Log(log_record("suspended", log_level::kWarning)
                  .Add("ms", ToMilliseconds(time)));
  router_.OnSuspended(time, now);
}

void control_loop::Submit(const routing::request_spec& spec,
                          std::shared_ptr<gateway::i_exchange> exchange) {
  Post([this, spec, exchange = std::move(exchange)](time_point now,
                                                    routing::effects& out) {
    exchanges_.emplace(spec.id, open_exchange{.exchange = exchange,
                                              .caller_name = spec.caller_name});
    router_.OnRequest(spec, now, out);
  });
}

refusal_seq control_loop::NextRefusal() {
  return router_.refusal_numbers().Next();
}

void control_loop::ReportRefusals(
    std::vector<refusals::named_refusal> refused) {
  Post([this, refused = std::move(refused)](time_point, routing::effects&) {
    router_.OnRefusedEarly(refused.size());
    for (const auto& same : refusals::GroupByKind(refused)) {
      LogRefusals(same);
    }
  });
}

void control_loop::ReportAttempt(request_seq request,
                                 attempt_number attempt,
                                 routing::attempt_event event) {
  Post([this, request, attempt, event = std::move(event)](
           time_point now, routing::effects& out) {
    router_.OnAttempt(request, attempt, event, now, out);
  });
}

void control_loop::ReportProgress(gateway::progress_batch batch) {
  Post([this, batch = std::move(batch)](time_point now, routing::effects& out) {
    for (const gateway::progress_entry& entry : batch.entries) {
      router_.OnAttempt(entry.request, entry.attempt,
                        routing::attempt_progress{.tokens = entry.tokens}, now,
                        out);
    }
    for (const duration gap : batch.token_gaps) {
      token_gap_.Observe(gap, now);
    }
  });
}

void control_loop::ReportCallerLeft(request_seq request) {
  Post([this, request](time_point now, routing::effects& out) {
    router_.OnCallerLeft(request, now, out);
  });
}

void control_loop::Announce(targets::announcement announcement) {
  Post([this, announcement = std::move(announcement)](time_point now,
                                                      routing::effects& out) {
    if (node_) {
      LogAnnouncement(announcement,
                      node_->OnAnnouncement(announcement, now, out));
    }
  });
}

void control_loop::ReportCrossedClose(const net::crossed_close& crossed) {
  logger_.Log(log_record("request_crossed_close")
                  .Add("cause", ToString(crossed.cause))
                  .Add("idle_ms", ToMilliseconds(crossed.idle))
                  .Add("after_ms", ToMilliseconds(crossed.after))
                  .Add("bytes", crossed.bytes));
}

void control_loop::ReportFailedConnection(const std::string& cause) {
  LogFailedConnection(cause, logger_);
}

std::size_t control_loop::UnfinishedCount() const {
  return router_.totals().waiting + router_.totals().in_flight;
}

routing::aborted_requests control_loop::AbortUnfinished() {
  const time_point now = steady_clock::now();
  routing::effects effects;
  const routing::aborted_requests aborted =
      router_.AbortAll(refusals::refusal_reason::kDraining, now, effects);
  Perform(effects, now);
  return aborted;
}

void control_loop::Drain(const std::string& cause) {
  if (IsDraining()) {
    return;
  }
  drain_window_ = MakeDrainWindow(settings_.timeouts, steady_clock::now());
  draining_.store(true, std::memory_order_release);
  logger_.Log(log_record("drain")
                  .Add("cause", cause)
                  .Add("unfinished", UnfinishedCount()));
  if (node_) {
    node_->BeginLeave(steady_clock::now());
  }
  Process([this](time_point now, routing::effects& out) {
    router_.BeginDrain(drain_window_, now, out);
  });
  if (on_drain_) {
    on_drain_(cause);
  }
}

std::string control_loop::Metrics() {
  return metrics_.Render(steady_clock::now());
}

void control_loop::OnQueueWait(duration wait, time_point now) {
  queue_wait_.Observe(wait, now);
}

void control_loop::OnFirstOutput(duration latency, time_point now) {
  first_output_.Observe(latency, now);
}

void control_loop::ArmTimer() {
  const time_point next =
      std::min(router_.NextDeadline(),
               node_ ? node_->NextDeadline() : feed_->NextDeadline());
  // A timer that fires early finds nothing due and is armed again.
  if (next >= timer_at_) {
    return;
  }
  timer_at_ = next;
  timer_.expires_at(next);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    Process([this](time_point now, routing::effects& out) {
      timer_at_ = kNever;
      router_.OnTick(now, out);
      if (feed_ && feed_->NextDeadline() <= now) {
        feed_->OnTick(now, out);
      }
      if (node_) {
        CheckPlannedOutages(now, out);
        if (node_->NextDeadline() <= now) {
          node_->OnTick(now, out);
        }
      }
    });
  });
}

void control_loop::DeliverTo(request_seq request,
                             gateway::exchange_order order) {
  const auto found = exchanges_.find(request);
  if (found != exchanges_.end()) {
    found->second.exchange->Deliver(std::move(order));
  }
}

}  // namespace burdocklock::app
