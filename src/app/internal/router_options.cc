// See the header.
#include "app/internal/router_options.h"

#include <algorithm>
#include <functional>
#include <string>

namespace burdocklock::app {

namespace {

// Additional tries beyond the attempts that may have run: a target that did not
// run a request costs only the trip to it.
constexpr std::uint32_t kExtraTries = 2;
// With routes, how long a call waits for a service that has no target.
constexpr std::chrono::milliseconds kNoTargetWait{300};
// Part of the shutdown time that is reserved for teardown after the last
// requests were aborted.
constexpr std::chrono::milliseconds kTeardownReserve{600};

}  // namespace

routing::router_options MakeRouterOptions(const config::settings& settings) {
  const config::timeout_settings& timeouts = settings.timeouts;
  const bool routed = config::HasRoutes(settings.interface);
  const std::uint32_t attempts = settings.retries.max_attempts;
  return {
      .lifecycle = {.queue_timeout = timeouts.queue,
                    .connect_timeout = timeouts.connect,
                    .first_token_timeout = timeouts.first_token,
                    .whole_answer_timeout = timeouts.whole_answer,
                    .service_answer_timeout = timeouts.service_answer,
                    .between_tokens_timeout = timeouts.between_tokens,
                    .total_timeout = timeouts.total,
                    .max_attempts = attempts,
                    .max_tries = attempts + (routed ? kExtraTries : 0)},
      .retries = {.ratio = settings.retries.budget_ratio,
                  .per_second = settings.retries.budget_per_second},
      .directory = {.local_data_centre = settings.data_centre,
                    .silence = timeouts.target_silence,
                    .leased = !routed,
                    .self = settings.daemon},
      .max_queued_per_customer = settings.limits.max_queued_per_customer,
      .max_queued_total = settings.limits.max_queued_total,
      .no_target_wait =
          routed ? duration(kNoTargetWait) : duration(timeouts.target_silence),
      .reuse_for_all = routed,
      .rollouts = {.self = settings.daemon,
                   .enabled = routed && settings.rollouts.enabled},
  };
}

gateway::gateway_options MakeGatewayOptions(const config::settings& settings) {
  constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
  const std::uint32_t threads = settings.limits.share_control_thread
                                    ? 1
                                    : settings.limits.traffic_threads;
  return {
      .listen = settings.callers,
      .share_port = settings.limits.traffic_threads > 1,
      .max_connections = settings.limits.max_connections,
      .memory_bytes = settings.limits.memory_mb * kMegabyte / threads,
      .descriptors = settings.limits.descriptors / threads,
      .threads = threads,
      .phase = std::hash<std::string>{}(settings.daemon.value()),
      .max_header_bytes = settings.limits.max_header_bytes,
      .max_body_bytes = settings.limits.max_body_bytes,
      .max_answer_bytes = settings.limits.max_answer_bytes,
      .max_held_bytes =
          settings.limits.max_held_bytes / settings.limits.traffic_threads,
      .caller_idle = settings.timeouts.caller_idle,
      .caller_read = settings.timeouts.caller_read,
      .caller_write = settings.timeouts.caller_write,
      .target_idle = settings.timeouts.target_idle,
      .target_tokens = settings.target_tokens,
  };
}

routing::drain_window MakeDrainWindow(const config::timeout_settings& timeouts,
                                      time_point begin) {
  const time_point notice_end = begin + timeouts.drain_notice;
  if (timeouts.shutdown.count() == 0) {
    return {.notice_end = notice_end,
            .cut = notice_end + timeouts.drain_deadline};
  }
  return {.notice_end = notice_end,
          .cut = std::max(notice_end,
                          begin + timeouts.shutdown - kTeardownReserve)};
}

fleet::fleet_options MakeFleetOptions(const config::settings& settings,
                                      incarnation life) {
  const bool control =
      std::find(settings.roles.begin(), settings.roles.end(),
                config::role::kControl) != settings.roles.end();
  return {
      .self = {.daemon = settings.daemon,
               .life = life,
               .data_centre = settings.data_centre,
               .region = settings.region,
               .has_control_role = control},
      .peer_count = settings.peers.size(),
      .coordinator = {.directory = {.local_data_centre = settings.data_centre,
                                    .silence =
                                        settings.timeouts.target_silence}},
  };
}

peer::peer_options MakePeerOptions(const config::settings& settings) {
  peer::peer_options options{.listen_address = settings.peer_listener.address,
                             .listen_port = settings.peer_listener.port};
  for (const endpoint& peer : settings.peers) {
    options.peers.push_back("ws://" + ToString(peer));
  }
  return options;
}

}  // namespace burdocklock::app
